/* Log files for `explain`: malformed lines are skipped, the explanation is not
 * empty, and its JSON form is well-formed. The first line is the request
 * id. */
#include "admin/explain.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
check_json(GwExplain *ex)
{
    GString *out = g_string_new(NULL);

    GwExplain_WriteJson(ex, out);
    if (g_utf8_validate(out->str, (gssize)out->len, NULL)) {
        struct json_object *root = json_tokener_parse(out->str);
        if (root == NULL) {
            abort();
        }
        json_object_put(root);
    }
    g_string_free(out, TRUE);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    char *text = g_strndup((const char *)data, size);
    char **lines = g_strsplit(text, "\n", -1);
    GString *out = g_string_new(NULL);

    if (lines[0] != NULL) {
        GwExplain *ex = GwExplain_Create(lines[0]);
        for (char **line = lines + 1; *line != NULL; line++) {
            GwExplain_AddLine(ex, "a.log", *line);
        }
        GwExplain_Write(ex, out);
        if (out->len == 0) {
            abort();
        }
        check_json(ex);
        GwExplain_Free(ex);
    }
    g_string_free(out, TRUE);
    g_strfreev(lines);
    g_free(text);
    return 0;
}
