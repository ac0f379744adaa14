/* The list of actions that a step of the decision code returns. */
#include "godwitridge.h"

#include <glib.h>
#include <stdarg.h>
#include <string.h>

/* Appends a zeroed action of the kind. The returned pointer is valid until the
 * next append. */
GwAction *
GwActions_Add(GwActions *actions, GwActionKind kind)
{
    if (actions->count == actions->capacity) {
        actions->capacity =
            actions->capacity == 0 ? 16 : actions->capacity * 2;
        actions->items = g_renew(GwAction, actions->items, actions->capacity);
    }
    GwAction *action = &actions->items[actions->count++];
    memset(action, 0, sizeof(*action));
    action->kind = kind;
    return action;
}

/* Appends a log event with its key=value text. */
void
GwActions_Log(GwActions *actions, uint32_t event, const char *format, ...)
{
    GwAction *action = GwActions_Add(actions, GW_ACTION_LOG);
    va_list args;

    action->u.log.event = event;
    va_start(args, format);
    g_vsnprintf(action->u.log.text, sizeof(action->u.log.text), format, args);
    va_end(args);
}

static void
free_table_request(GwTableRequest *request)
{
    for (uint32_t i = 0; i < request->row_count; i++) {
        g_free(request->rows[i].value);
    }
    g_free(request);
}

/* Frees the messages and table requests of the actions and empties the list,
 * keeping its memory for the next step. A host that takes ownership of a
 * message or table request sets the pointer to NULL first. */
void
GwActions_Clear(GwActions *actions)
{
    for (uint32_t i = 0; i < actions->count; i++) {
        GwAction *action = &actions->items[i];
        if (action->kind == GW_ACTION_SEND) {
            GwMessage_Free(action->u.send.message);
        }
        else if (action->kind == GW_ACTION_TABLE && action->u.table != NULL) {
            free_table_request(action->u.table);
        }
    }
    actions->count = 0;
}

/* Clears the list and frees its memory. */
void
GwActions_Free(GwActions *actions)
{
    GwActions_Clear(actions);
    g_free(actions->items);
    *actions = (GwActions){0};
}
