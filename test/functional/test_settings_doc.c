/* Tests that the page on settings agrees with the programs. */
#include <glib.h>

#include "suite.h"

/* docs/settings.md must equal the output of tools/settings-doc.sh, which
 * generates it from the programs. */
static void settings_page_is_made_from_the_programs(void)
{
	char *script =
		g_build_filename(SOURCE_DIR, "tools/settings-doc.sh", NULL);
	char *page = g_build_filename(SOURCE_DIR, "docs/settings.md", NULL);
	char *argv[] = { script, (char *)PROGRAM_DIR, NULL };
	char *made = NULL;
	char *kept = NULL;
	int status = 0;

	CU_ASSERT_TRUE(g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL,
				    NULL, &made, NULL, &status, NULL));
	CU_ASSERT_EQUAL(status, 0);
	CU_ASSERT_TRUE(g_file_get_contents(page, &kept, NULL, NULL));
	CU_ASSERT_EQUAL(g_strcmp0(made, kept), 0);
	g_free(made);
	g_free(kept);
	g_free(page);
	g_free(script);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "the settings page is made from the programs",
		  settings_page_is_made_from_the_programs },
		{ 0 },
	};

	return suite_run("settings page", cases);
}
