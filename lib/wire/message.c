#include "wire/message.h"

#include <glib.h>
#include <string.h>

/* Whether both ids name the same start of the same instance. */
bool
GwNodeId_Equal(GwNodeId a, GwNodeId b)
{
    return a.node == b.node && a.start == b.start;
}

/* Creates a zeroed message of the kind. Free it with GwMessage_Free. */
GwMessage *
GwMessage_Create(GwMessageKind kind, GwNodeId from)
{
    GwMessage *msg = g_new0(GwMessage, 1);
    msg->kind = kind;
    msg->from = from;
    return msg;
}

/* Makes a deep copy, including the text of a CONFIG_DOC. */
GwMessage *
GwMessage_Copy(const GwMessage *msg)
{
    GwMessage *copy = g_new(GwMessage, 1);
    *copy = *msg;
    if (msg->kind == GW_MSG_CONFIG_DOC) {
        copy->u.doc.text = g_strndup(msg->u.doc.text, msg->u.doc.text_len);
    }
    return copy;
}

/* Frees the message and its configuration text; NULL is allowed. */
void
GwMessage_Free(GwMessage *msg)
{
    if (msg == NULL) {
        return;
    }
    if (msg->kind == GW_MSG_CONFIG_DOC) {
        g_free(msg->u.doc.text);
    }
    g_free(msg);
}
