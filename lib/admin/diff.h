/* What differs between two documents, by item and field. */
#ifndef GW_ADMIN_DIFF_H
#define GW_ADMIN_DIFF_H

#include <glib.h>

/* One line a difference, such as "places[vatdesk/ogre].drain: false ->
 * true"; empty when there is none. Items are paired by their names, so that
 * order and comments don't count. NULL with `error` when a text is no JSON.
 * For g_free. */
char *GwDiff_Text(const char *old_text, const char *new_text, GError **error);

#endif
