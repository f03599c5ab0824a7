/*
 * Runs a fuzz target on the committed corpus and on inputs generated from fixed
 * seeds, so that every run gives the same result.
 *
 *     replay-fuzz_X [--corpus DIR] [--first SEED] [--seeds COUNT]
 *
 * With REPLAY_VERBOSE in the environment, each seed is printed before its run.
 * The target itself ends the process when it finds a violated rule.
 */
#include <dirent.h>
#include <glib.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Inputs generated from a seed are shorter than this. */
#define SEED_INPUT_BYTES 4096

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Runs all files of a directory; returns their number, 0 if it can't be read.
 */
static unsigned int replay_corpus(const char *dir_path)
{
	GDir *dir = g_dir_open(dir_path, 0, NULL);
	unsigned int count = 0;
	const char *name;

	if (!dir)
		return 0;
	while ((name = g_dir_read_name(dir))) {
		char *path = g_build_filename(dir_path, name, NULL);
		char *data;
		gsize size;

		if (g_file_get_contents(path, &data, &size, NULL)) {
			LLVMFuzzerTestOneInput((const uint8_t *)data, size);
			g_free(data);
			count++;
		}
		g_free(path);
	}
	g_dir_close(dir);
	return count;
}

static void replay_seed(uint32_t seed)
{
	uint8_t data[SEED_INPUT_BYTES];
	GRand *rng = g_rand_new_with_seed(seed);
	size_t len = (size_t)g_rand_int_range(rng, 64, SEED_INPUT_BYTES);
	size_t i;

	for (i = 0; i < len; i++)
		data[i] = (uint8_t)g_rand_int(rng);
	g_rand_free(rng);
	LLVMFuzzerTestOneInput(data, len);
}

int main(int argc, char **argv)
{
	const char *corpus = NULL;
	uint32_t first = 1, seeds = 500, seed;
	unsigned int files = 0;
	int i;

	for (i = 1; i + 1 < argc; i += 2) {
		if (!strcmp(argv[i], "--corpus"))
			corpus = argv[i + 1];
		else if (!strcmp(argv[i], "--seeds"))
			seeds = (uint32_t)strtoul(argv[i + 1], NULL, 10);
		else if (!strcmp(argv[i], "--first"))
			first = (uint32_t)strtoul(argv[i + 1], NULL, 10);
	}
	if (corpus)
		files = replay_corpus(corpus);
	printf("ok - corpus of %u files\n", files);
	for (seed = first; seed < first + seeds; seed++) {
		if (getenv("REPLAY_VERBOSE"))
			fprintf(stderr, "seed %u\n", seed);
		replay_seed(seed);
	}
	printf("ok - seeds %u to %u\n", first, first + seeds - 1);
	return 0;
}
