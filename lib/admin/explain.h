/* Explains the outcome of one request from the logs of the entries that
 * handled it.
 *
 * Orders the log lines of the request by time and adds notes on conditions at
 * the entry that may have led to a wrong decision: an outdated configuration,
 * an unavailable store, a server that was ejected or draining, or a graceful
 * stop of the entry. */
#ifndef GW_ADMIN_EXPLAIN_H
#define GW_ADMIN_EXPLAIN_H

#include <glib.h>
#include <stdint.h>

typedef struct GwExplain_s GwExplain;

GwExplain *GwExplain_Create(const char *request_id);
void GwExplain_Free(GwExplain *ex);
/* Adds one line of a log. The last word before `time_ms=` is the name of the
 * entry; without such a word the name is `source`. Lines of one entry must be
 * added in order. */
void GwExplain_AddLine(GwExplain *ex, const char *source, const char *line);
/* Returns the number of lines of the request. */
uint32_t GwExplain_LineCount(const GwExplain *ex);
/* Appends the explanation as text or as JSON. The conclusion is the last line
 * of the text, or the member "conclusion". */
void GwExplain_Write(GwExplain *ex, GString *out);
void GwExplain_WriteJson(GwExplain *ex, GString *out);

#endif
