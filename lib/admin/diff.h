/* Differences between two documents, by item and field. */
#ifndef GW_ADMIN_DIFF_H
#define GW_ADMIN_DIFF_H

#include <glib.h>

/* Returns one line per difference, such as "places[vatdesk/ogre].drain: false
 * -> true", for g_free; empty for equal documents. Items are paired by name,
 * and order and comments are ignored. NULL with `error` when a text is not
 * JSON. */
char *GwDiff_Text(const char *old_text, const char *new_text, GError **error);

#endif
