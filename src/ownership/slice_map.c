#include "ownership/slice_map.h"

#include "base/error.h"
#include "base/hash.h"
#include "wire/auburn.pb-c.h"

struct slice_map {
	gatomicrefcount refs;
	char *cell;
	/** Id of the write that stored the row; "" if unknown. */
	char *attempt;
	uint64_t epoch;
	/** Ids of the owners' VMs, as char *, owned. */
	GPtrArray *owners;
	/** The slices in key order, as struct slice. */
	GArray *slices;
};

static struct slice_map *map_new(struct str cell, uint64_t epoch)
{
	struct slice_map *map = g_new0(struct slice_map, 1);

	g_atomic_ref_count_init(&map->refs);
	map->cell = str_dup(cell);
	map->attempt = g_strdup("");
	map->epoch = epoch;
	map->owners = g_ptr_array_new_with_free_func(g_free);
	map->slices = g_array_new(FALSE, TRUE, sizeof(struct slice));
	return map;
}

struct slice_map *slice_map_ref(struct slice_map *map)
{
	g_atomic_ref_count_inc(&map->refs);
	return map;
}

void slice_map_destroy(struct slice_map *map)
{
	if (!map || !g_atomic_ref_count_dec(&map->refs))
		return;
	g_free(map->cell);
	g_free(map->attempt);
	g_ptr_array_unref(map->owners);
	g_array_unref(map->slices);
	g_free(map);
}

/* Checks one slice of a map against the rules of slice_map_decode(); says in
 * the error which rule it breaks. */
static bool slice_valid(const struct slice_map *map, size_t i, GError **error)
{
	const struct slice *s = slice_map_at(map, i);
	const char *fault = NULL;

	if (i == 0 && s->first != 0)
		fault = "the first slice does not begin at 0";
	else if (i > 0 && s->first <= slice_map_at(map, i - 1)->first)
		fault = "it does not begin after the previous slice";
	else if (s->owner != SLICE_NO_OWNER && s->owner >= map->owners->len)
		fault = "its owner index is out of range";
	else if (s->epoch > map->epoch)
		fault = "its epoch is above the cell's";
	if (fault)
		g_set_error(error, AUBURN_ERROR, AUBURN_ERROR_PROTOCOL,
			    "cell %s, slice %zu: %s", map->cell, i, fault);
	return !fault;
}

/* Checks a map and sets the last hash of each slice; destroys an invalid map
 * and returns NULL. */
static struct slice_map *map_finish(struct slice_map *map, GError **error)
{
	size_t i, n = map->slices->len;

	if (!n) {
		g_set_error(error, AUBURN_ERROR, AUBURN_ERROR_PROTOCOL,
			    "cell %s has no slices", map->cell);
		slice_map_destroy(map);
		return NULL;
	}
	for (i = 0; i < n; i++) {
		struct slice *s = &g_array_index(map->slices, struct slice, i);

		if (!slice_valid(map, i, error)) {
			slice_map_destroy(map);
			return NULL;
		}
		s->last = i + 1 < n ? slice_map_at(map, i + 1)->first - 1
				    : UINT64_MAX;
	}
	return map;
}

static void append_slice(struct slice_map *map, const Slice *wire)
{
	struct slice s = {
		.first = wire->first,
		.owner = wire->owner,
		.epoch = wire->epoch,
	};

	g_array_append_val(map->slices, s);
}

struct slice_map *slice_map_decode(struct str row, GError **error)
{
	CellRow *wire =
		cell_row__unpack(NULL, row.len, (const uint8_t *)row.data);
	struct slice_map *map;
	size_t i;

	if (!wire) {
		g_set_error(error, AUBURN_ERROR, AUBURN_ERROR_PROTOCOL,
			    "the row of a cell is not a valid CellRow message");
		return NULL;
	}
	map = map_new(str_from(wire->cell), wire->epoch);
	g_free(map->attempt);
	map->attempt = g_strdup(wire->attempt);
	for (i = 0; i < wire->n_owners; i++)
		g_ptr_array_add(map->owners, g_strdup(wire->owners[i]));
	for (i = 0; i < wire->n_slices; i++)
		append_slice(map, wire->slices[i]);
	cell_row__free_unpacked(wire, NULL);
	return map_finish(map, error);
}

struct slice_map *slice_map_create(struct str cell, uint64_t epoch,
				   const struct str *owners, size_t owner_count,
				   const struct slice *slices,
				   size_t slice_count, GError **error)
{
	struct slice_map *map = map_new(cell, epoch);
	size_t i;

	for (i = 0; i < owner_count; i++)
		g_ptr_array_add(map->owners, str_dup(owners[i]));
	g_array_append_vals(map->slices, slices, (guint)slice_count);
	return map_finish(map, error);
}

struct slice_map *slice_map_initial(struct str cell, const struct str *owners,
				    size_t owner_count, size_t per_owner)
{
	size_t i, n = owner_count * per_owner;
	struct slice none = { .owner = SLICE_NO_OWNER, .epoch = 1 };
	struct slice_map *map;
	struct slice *slices;

	if (!n)
		return slice_map_create(cell, 1, owners, owner_count, &none, 1,
					NULL);
	slices = g_new0(struct slice, n);
	for (i = 0; i < n; i++) {
		slices[i].first = (UINT64_MAX / n) * i;
		slices[i].owner = (uint32_t)(i / per_owner);
		slices[i].epoch = 1;
	}
	map = slice_map_create(cell, 1, owners, owner_count, slices, n, NULL);
	g_free(slices);
	return map;
}

GBytes *slice_map_encode(const struct slice_map *map, struct str attempt)
{
	CellRow row = CELL_ROW__INIT;
	size_t i, len, n = map->slices->len;
	Slice *slices = g_new(Slice, n);
	Slice **list = g_new(Slice *, n);
	char *id = str_dup(attempt);
	uint8_t *bytes;

	for (i = 0; i < n; i++) {
		const struct slice *s = slice_map_at(map, i);

		slice__init(&slices[i]);
		slices[i].first = s->first;
		slices[i].owner = s->owner;
		slices[i].epoch = s->epoch;
		list[i] = &slices[i];
	}
	row.cell = map->cell;
	row.epoch = map->epoch;
	row.attempt = id;
	row.n_owners = map->owners->len;
	row.owners = (char **)map->owners->pdata;
	row.n_slices = n;
	row.slices = list;
	len = cell_row__get_packed_size(&row);
	bytes = g_malloc(len);
	cell_row__pack(&row, bytes);
	g_free(id);
	g_free(list);
	g_free(slices);
	return g_bytes_new_take(bytes, len);
}

struct str slice_map_cell(const struct slice_map *map)
{
	return str_from(map->cell);
}

uint64_t slice_map_epoch(const struct slice_map *map)
{
	return map->epoch;
}

struct str slice_map_attempt(const struct slice_map *map)
{
	return str_from(map->attempt);
}

size_t slice_map_count(const struct slice_map *map)
{
	return map->slices->len;
}

const struct slice *slice_map_at(const struct slice_map *map, size_t index)
{
	return &g_array_index(map->slices, struct slice, index);
}

size_t slice_map_index(const struct slice_map *map, uint64_t hash)
{
	size_t low = 0, high = map->slices->len;

	while (high - low > 1) {
		size_t mid = low + (high - low) / 2;

		if (slice_map_at(map, mid)->first <= hash)
			low = mid;
		else
			high = mid;
	}
	return low;
}

const struct slice *slice_map_find(const struct slice_map *map, uint64_t hash)
{
	return slice_map_at(map, slice_map_index(map, hash));
}

struct str slice_map_owner(const struct slice_map *map, uint32_t owner)
{
	return str_from(g_ptr_array_index(map->owners, owner));
}

size_t slice_map_owner_count(const struct slice_map *map)
{
	return map->owners->len;
}

uint32_t slice_map_owner_index(const struct slice_map *map, struct str id)
{
	uint32_t i;

	for (i = 0; i < map->owners->len; i++)
		if (str_equal(slice_map_owner(map, i), id))
			return i;
	return SLICE_NO_OWNER;
}

size_t slice_map_count_owned(const struct slice_map *map, uint32_t owner)
{
	size_t i, count = 0;

	for (i = 0; i < map->slices->len; i++)
		count += slice_map_at(map, i)->owner == owner;
	return count;
}

GArray *slice_map_ranges(const struct slice_map *map, uint32_t owner)
{
	GArray *ranges = g_array_new(FALSE, TRUE, sizeof(struct hash_range));
	size_t i, n = map->slices->len;

	for (i = 0; i < n; i++) {
		const struct slice *s = slice_map_at(map, i);
		struct hash_range range = { s->first, s->last };

		if (s->owner != owner)
			continue;
		if (i > 0 && slice_map_at(map, i - 1)->owner == owner)
			g_array_index(ranges, struct hash_range,
				      ranges->len - 1)
				.last = s->last;
		else
			g_array_append_val(ranges, range);
	}
	return ranges;
}

/* Appends a number as 8 bytes, little endian. */
static void put_le64(GByteArray *bytes, uint64_t value)
{
	uint64_t le = GUINT64_TO_LE(value);

	g_byte_array_append(bytes, (const guint8 *)&le, sizeof(le));
}

uint64_t hash_ranges_digest(const struct hash_range *ranges, size_t count)
{
	GByteArray *bytes = g_byte_array_new();
	uint64_t digest;
	size_t i;

	for (i = 0; i < count; i++) {
		put_le64(bytes, ranges[i].first);
		put_le64(bytes, ranges[i].last);
	}
	digest =
		hash_key((struct str){ (const char *)bytes->data, bytes->len });
	g_byte_array_unref(bytes);
	return digest;
}
