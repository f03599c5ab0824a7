/* Tests of copies of whole tables: what the leader encodes arrives, in parts of
 * any order, and bytes that are no copy are refused. */
#include <string.h>

#include "entry/table_copy.h"
#include "suite.h"

/* Returns rows of a table; random values don't compress. */
static struct store_row *make_rows(size_t count, size_t bytes)
{
	struct store_row *rows = g_new0(struct store_row, count);
	GRand *random = g_rand_new_with_seed(1);
	size_t i, j;

	for (i = 0; i < count; i++) {
		rows[i].key = g_strdup_printf("i-%zu", i);
		rows[i].version = i + 1;
		rows[i].value = g_string_new(NULL);
		for (j = 0; j < bytes; j++)
			g_string_append_c(rows[i].value,
					  (gchar)g_rand_int(random));
	}
	g_rand_free(random);
	return rows;
}

static void free_rows(struct store_row *rows, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		g_free(rows[i].key);
		g_string_free(rows[i].value, TRUE);
	}
	g_free(rows);
}

static GByteArray *encode(size_t count, size_t bytes, uint64_t version)
{
	struct store_row *rows = make_rows(count, bytes);
	struct table_delta copy = { .upto = version,
				    .rows = rows,
				    .count = count };
	GByteArray *encoded = table_copy_encode(&copy);

	free_rows(rows, count);
	return encoded;
}

struct shape {
	size_t rows;
	size_t bytes;
	/** Number of parts; 0: too large for a copy. */
	unsigned int parts;
};

/* Adds all parts but a missing one, in reverse order.
 *
 * @return the copy when it is complete, or NULL */
static TableChanges *deliver(struct table_copy_parts *parts,
			     const GByteArray *bytes, uint64_t version,
			     int missing)
{
	TableChanges *copy = NULL;
	int i;

	for (i = (int)table_copy_part_count(bytes) - 1; i >= 0; i--) {
		TableCopyPart part = TABLE_COPY_PART__INIT;

		part.term = 5;
		part.upto = version;
		table_copy_part(bytes, (unsigned int)i, &part);
		if (i == missing)
			continue;
		CU_ASSERT_PTR_NULL(copy);
		copy = table_copy_parts_add(parts, &part);
	}
	return copy;
}

static void copies_of_all_sizes_arrive(void)
{
	static const struct shape shapes[] = {
		{ 0, 0, 1 },	   { 1, 10, 1 },       { 720, 30, 4 },
		{ 2000, 30, 9 },   { 1, 300000, 38 },  { 100, 6000, 76 },
		{ 100, 10000, 0 }, { 1, 17 << 20, 0 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(shapes); i++) {
		const struct shape *shape = &shapes[i];
		GByteArray *bytes = encode(shape->rows, shape->bytes, 7);
		struct table_copy_parts *parts;
		TableChanges *copy;

		CU_ASSERT_EQUAL(bytes != NULL, shape->parts > 0);
		if (!bytes)
			continue;
		CU_ASSERT_EQUAL(table_copy_part_count(bytes), shape->parts);
		parts = table_copy_parts_create();
		copy = deliver(parts, bytes, 7, -1);
		CU_ASSERT_PTR_NOT_NULL_FATAL(copy);
		if (!copy)
			return;
		CU_ASSERT_EQUAL(copy->upto, 7);
		CU_ASSERT_EQUAL(copy->n_rows, shape->rows);
		if (shape->rows)
			CU_ASSERT_EQUAL(copy->rows[0]->value.len, shape->bytes);
		table_changes__free_unpacked(copy, NULL);
		table_copy_parts_destroy(parts);
		g_byte_array_free(bytes, TRUE);
	}
}

static void a_lost_part_comes_with_the_next_copy(void)
{
	struct table_copy_parts *parts = table_copy_parts_create();
	GByteArray *older = encode(2000, 30, 7);
	GByteArray *newer = encode(2000, 30, 8);
	TableChanges *copy;

	CU_ASSERT_PTR_NULL(deliver(parts, older, 7, 1));
	copy = deliver(parts, newer, 8, -1);
	CU_ASSERT_PTR_NOT_NULL_FATAL(copy);
	if (!copy)
		return;
	CU_ASSERT_EQUAL(copy->upto, 8);
	table_changes__free_unpacked(copy, NULL);
	/* An older copy that is late is not taken. */
	CU_ASSERT_PTR_NULL(deliver(parts, older, 7, -1));
	table_copy_parts_destroy(parts);
	g_byte_array_free(older, TRUE);
	g_byte_array_free(newer, TRUE);
}

/* The leader is lost while it sends changes, and a backup sends them as well.
 * Its bytes may differ; guards against joining parts of both. */
static void a_backup_sends_the_changes_of_a_lost_leader(void)
{
	struct table_copy_parts *parts = table_copy_parts_create();
	GByteArray *leaders = encode(2000, 30, 7);
	GByteArray *backups = encode(2001, 30, 7);
	TableChanges *changes = NULL;
	unsigned int i;

	CU_ASSERT_EQUAL(table_copy_part_count(leaders),
			table_copy_part_count(backups));
	CU_ASSERT_PTR_NULL(deliver(parts, leaders, 7, 0));
	for (i = 0; i < table_copy_part_count(backups); i++) {
		TableCopyPart part = TABLE_COPY_PART__INIT;

		part.term = 5;
		part.upto = 7;
		part.check = 1;
		table_copy_part(backups, i, &part);
		CU_ASSERT_PTR_NULL(changes);
		changes = table_copy_parts_add(parts, &part);
	}
	CU_ASSERT_PTR_NOT_NULL_FATAL(changes);
	if (!changes)
		return;
	CU_ASSERT_EQUAL(changes->n_rows, 2001);
	table_changes__free_unpacked(changes, NULL);
	table_copy_parts_destroy(parts);
	g_byte_array_free(leaders, TRUE);
	g_byte_array_free(backups, TRUE);
}

/* Adds one part of changes that a VM sends. */
static TableChanges *add_changes(struct table_copy_parts *parts,
				 const GByteArray *bytes, unsigned int index,
				 uint64_t term, uint32_t sender)
{
	TableCopyPart part = TABLE_COPY_PART__INIT;

	part.term = term;
	part.upto = 7;
	part.is_changes = true;
	part.check = sender;
	table_copy_part(bytes, index, &part);
	return table_copy_parts_add(parts, &part);
}

/* Guards against changes that never arrive while the backups of a lost leader
 * send them at the same time, or from VMs that have just started. */
static void changes_from_several_vms_arrive(void)
{
	struct table_copy_parts *parts = table_copy_parts_create();
	GByteArray *bytes = encode(2000, 30, 7);
	unsigned int arrived[4] = { 0 };
	unsigned int i, sender;

	for (i = 0; i < table_copy_part_count(bytes); i++) {
		for (sender = 0; sender < 4; sender++) {
			/* Each part comes twice; two senders know no term. */
			uint64_t term = sender < 2 ? 5 : 0;
			TableChanges *changes =
				add_changes(parts, bytes, i, term, sender);

			arrived[sender] += changes != NULL;
			if (changes)
				table_changes__free_unpacked(changes, NULL);
			CU_ASSERT_PTR_NULL(
				add_changes(parts, bytes, i, term, sender));
		}
	}
	for (sender = 0; sender < 4; sender++)
		CU_ASSERT_EQUAL(arrived[sender], 1);
	table_copy_parts_destroy(parts);
	g_byte_array_free(bytes, TRUE);
}

static void bytes_that_are_no_copy_are_refused(void)
{
	static const uint8_t huge[] = { 0xff, 0xff, 0xff, 0xff, 1, 2, 3 };
	struct table_copy_parts *parts = table_copy_parts_create();
	TableCopyPart part = TABLE_COPY_PART__INIT;
	GByteArray *bytes = encode(10, 10, 7);
	guint len;

	for (len = 0; len < bytes->len; len++)
		CU_ASSERT_PTR_NULL(table_copy_decode(bytes->data, len));
	CU_ASSERT_PTR_NULL(table_copy_decode(huge, sizeof(huge)));
	CU_ASSERT_PTR_NULL(table_copy_parts_add(parts, &part));
	part.count = TABLE_COPY_PARTS_MAX + 1;
	CU_ASSERT_PTR_NULL(table_copy_parts_add(parts, &part));
	part.count = 1;
	part.index = 1;
	CU_ASSERT_PTR_NULL(table_copy_parts_add(parts, &part));
	part.index = 0;
	CU_ASSERT_PTR_NULL(table_copy_parts_add(parts, &part));
	table_copy_parts_destroy(parts);
	g_byte_array_free(bytes, TRUE);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "copies of all sizes arrive", copies_of_all_sizes_arrive },
		{ "a lost part comes with the next copy",
		  a_lost_part_comes_with_the_next_copy },
		{ "a backup sends the changes of a lost leader",
		  a_backup_sends_the_changes_of_a_lost_leader },
		{ "changes from several VMs arrive",
		  changes_from_several_vms_arrive },
		{ "bytes that are no copy are refused",
		  bytes_that_are_no_copy_are_refused },
		{ 0 },
	};

	return suite_run("table_copy", cases);
}
