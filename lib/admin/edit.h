/* Typed changes, made on the text of the document in force. Whether the
 * outcome is a good configuration is left to GwConfig_Parse; here a change
 * fails only when what it names is not there, or is there already. */
#ifndef GW_ADMIN_EDIT_H
#define GW_ADMIN_EDIT_H

#include "admin/admin.pb-c.h"
#include "config/model.h"

/* A GwChangeEditFn; ctx is a Gw__Admin__Batch. Comments of the text are lost. */
char *GwEdit_Make(void *ctx, const char *text, GError **error);
/* One line for the log of changes; free with g_free. */
char *GwEdit_Describe(const Gw__Admin__Batch *batch);

#endif
