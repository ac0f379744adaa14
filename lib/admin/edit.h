/* Typed changes, applied to the text of the document in force. A change fails
 * only when an item that it names is absent, or already present;
 * GwConfig_Parse validates the resulting configuration. */
#ifndef GW_ADMIN_EDIT_H
#define GW_ADMIN_EDIT_H

#include "admin/admin.pb-c.h"
#include "config/model.h"

/* A GwChangeEditFn: applies every change of the batch in order, or none. `ctx`
 * is a Gw__Admin__Batch. Returns the new text without the comments of the old,
 * for g_free; NULL with `error`. */
char *GwEdit_Make(void *ctx, const char *text, GError **error);
/* Returns a line for the log of changes, for g_free, with the names of the
 * schema, such as "set_shift vatdesk riga ogre cap=12 percent=0". */
char *GwEdit_Describe(const Gw__Admin__Batch *batch);

#endif
