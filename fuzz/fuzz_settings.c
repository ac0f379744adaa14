/* Settings documents: rejected with a message, or accepted with a printed form
 * that loads to the same settings. */
#include "config/settings_table.h"

#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    GError *error = NULL;
    GwSettings *s = GwSettings_Parse((const char *)data, size, &error);
    if (s == NULL) {
        if (error == NULL || error->message[0] == '\0') {
            abort();
        }
        g_error_free(error);
        return 0;
    }
    char *text = GwSettings_Print(s);
    GwSettings *again = GwSettings_Parse(text, strlen(text), NULL);
    if (again == NULL || memcmp(again, s, sizeof(*s)) != 0) {
        abort();
    }
    g_free(text);
    GwSettings_Free(again);
    GwSettings_Free(s);
    return 0;
}
