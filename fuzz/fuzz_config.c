/* Configuration documents: rejected with a message, or accepted with a text
 * that parses to the same configuration. */
#include "config/model.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    GError *error = NULL;
    GwConfig *c =
        GwConfig_Parse((const char *)data, (uint32_t)size, 1, &error);
    if (c == NULL) {
        if (error == NULL || error->message[0] == '\0') {
            abort();
        }
        g_error_free(error);
        return 0;
    }
    GwConfig *again = GwConfig_Parse(c->text, c->text_len, 1, NULL);
    if (again == NULL || again->checksum != c->checksum ||
        again->backend_count != c->backend_count) {
        abort();
    }
    GwConfig_IsIdempotent(c, 0, "GET", "/");
    GwConfig_Free(again);
    GwConfig_Free(c);
    return 0;
}
