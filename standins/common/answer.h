/* Self-checking answer bodies: each carries the caller's key and a hash over
 * key and padding, so that a wrong or truncated answer is detected. */
#ifndef GS_ANSWER_H
#define GS_ANSWER_H

#include <stdbool.h>
#include <stdint.h>

char *GsAnswer_Make(const char *backend, const char *key, uint32_t pad_len);
bool GsAnswer_Check(const char *text, const char *key);

#endif
