#include "base/error.h"
#include "ownership/slice_map.h"
#include "suite.h"

static const struct str owners[] = {
	{ "vm-1", 4 },
	{ "vm-2", 4 },
	{ "vm-3", 4 },
};

static struct str bytes_str(GBytes *bytes)
{
	gsize len;
	const char *data = g_bytes_get_data(bytes, &len);

	return (struct str){ data, len };
}

static void initial_map_covers_the_key_space(void)
{
	struct slice_map *map = slice_map_initial(STR("c"), owners, 3, 4);
	size_t i;

	CU_ASSERT_EQUAL(slice_map_count(map), 12);
	CU_ASSERT_EQUAL(slice_map_at(map, 0)->first, 0);
	CU_ASSERT_EQUAL(slice_map_at(map, 11)->last, UINT64_MAX);
	for (i = 0; i < 12; i++) {
		const struct slice *s = slice_map_at(map, i);

		CU_ASSERT_EQUAL(s->owner, i / 4);
		CU_ASSERT_PTR_EQUAL(slice_map_find(map, s->first), s);
		CU_ASSERT_PTR_EQUAL(slice_map_find(map, s->last), s);
	}
	CU_ASSERT_EQUAL(slice_map_count_owned(map, 1), 4);
	CU_ASSERT_EQUAL(slice_map_owner_index(map, STR("vm-3")), 2);
	CU_ASSERT_EQUAL(slice_map_owner_index(map, STR("vm-9")),
			SLICE_NO_OWNER);
	slice_map_destroy(map);
}

static void cell_without_slices_has_one_unowned(void)
{
	struct slice_map *map = slice_map_initial(STR("c"), owners, 3, 0);

	CU_ASSERT_EQUAL(slice_map_count(map), 1);
	CU_ASSERT_EQUAL(slice_map_find(map, 7)->owner, SLICE_NO_OWNER);
	CU_ASSERT_EQUAL(slice_map_owner_count(map), 3);
	slice_map_destroy(map);
}

static void row_is_decoded_as_encoded(void)
{
	struct slice_map *map = slice_map_initial(STR("c"), owners, 3, 2);
	GBytes *row = slice_map_encode(map, STR("a/1"));
	struct slice_map *copy = slice_map_decode(bytes_str(row), NULL);
	size_t i;

	CU_ASSERT_PTR_NOT_NULL_FATAL(copy);
	CU_ASSERT_TRUE(str_equal(slice_map_attempt(copy), STR("a/1")));
	CU_ASSERT_TRUE(str_equal(slice_map_cell(copy), STR("c")));
	CU_ASSERT_EQUAL(slice_map_epoch(copy), 1);
	CU_ASSERT_EQUAL_FATAL(slice_map_count(copy), slice_map_count(map));
	for (i = 0; i < slice_map_count(map); i++)
		CU_ASSERT_EQUAL(memcmp(slice_map_at(map, i),
				       slice_map_at(copy, i),
				       offsetof(struct slice, owner)),
				0);
	g_bytes_unref(row);
	slice_map_destroy(copy);
	slice_map_destroy(map);
}

static void broken_maps_are_refused(void)
{
	static const struct {
		/** Each slice as first, last, owner and epoch; last is not
		 * checked. */
		struct slice slices[2];
		size_t count;
		/** Epoch of the map. */
		uint64_t epoch;
		/** Whether the map is valid. */
		bool ok;
	} cases[] = {
		{ { { 0, 0, 0, 1 }, { 5, 0, 1, 2 } }, 2, 2, true },
		{ { { 0, 0, SLICE_NO_OWNER, 1 } }, 1, 1, true },
		/* The first slice does not begin at 0. */
		{ { { 1, 0, 0, 1 } }, 1, 1, false },
		/* There are only three owners. */
		{ { { 0, 0, 3, 1 } }, 1, 1, false },
		/* The slice's epoch is above the map's. */
		{ { { 0, 0, 0, 2 } }, 1, 1, false },
		/* Two slices begin at the same hash. */
		{ { { 0, 0, 0, 1 }, { 0, 0, 1, 1 } }, 2, 1, false },
		/* There are no slices. */
		{ { { 0, 0, 0, 1 } }, 0, 1, false },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		GError *error = NULL;
		struct slice_map *map = slice_map_create(
			STR("c"), cases[i].epoch, owners, 3, cases[i].slices,
			cases[i].count, &error);

		CU_ASSERT_EQUAL(map != NULL, cases[i].ok);
		CU_ASSERT_EQUAL(error == NULL, cases[i].ok);
		g_clear_error(&error);
		slice_map_destroy(map);
	}
	CU_ASSERT_PTR_NULL(slice_map_decode(STR("\xff\xff"), NULL));
}

static void ranges_of_neighbours_are_joined(void)
{
	static const struct slice slices[] = {
		{ 0, 0, 0, 1 },
		{ 10, 0, 0, 1 },
		{ 20, 0, 1, 1 },
		{ 30, 0, 0, 1 },
	};
	struct slice_map *map =
		slice_map_create(STR("c"), 1, owners, 3, slices, 4, NULL);
	GArray *ranges = slice_map_ranges(map, 0);
	const struct hash_range *r = (const void *)ranges->data;

	CU_ASSERT_EQUAL_FATAL(ranges->len, 2);
	CU_ASSERT_EQUAL(r[0].first, 0);
	CU_ASSERT_EQUAL(r[0].last, 19);
	CU_ASSERT_EQUAL(r[1].first, 30);
	CU_ASSERT_EQUAL(r[1].last, UINT64_MAX);
	CU_ASSERT_NOT_EQUAL(hash_ranges_digest(r, 1), hash_ranges_digest(r, 2));
	g_array_unref(ranges);
	slice_map_destroy(map);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "initial map covers the key space",
		  initial_map_covers_the_key_space },
		{ "cell without slices has one unowned",
		  cell_without_slices_has_one_unowned },
		{ "row is decoded as encoded", row_is_decoded_as_encoded },
		{ "broken maps are refused", broken_maps_are_refused },
		{ "ranges of neighbours are joined",
		  ranges_of_neighbours_are_joined },
		{ 0 },
	};

	return suite_run("slice map", cases);
}
