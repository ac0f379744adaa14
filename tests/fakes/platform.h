/* Environment of a real GwRuntime: an in-memory platform served over HTTP, and
 * backend servers with a request handler of the test. */
#ifndef GW_TESTS_FAKES_PLATFORM_H
#define GW_TESTS_FAKES_PLATFORM_H

#include "config/model.h"
#include "runtime/runtime.h"

#include <civetweb.h>
#include <stdatomic.h>

typedef struct FakePlatform_s FakePlatform;

FakePlatform *FakePlatform_Start(void);
void FakePlatform_Stop(FakePlatform *p);
/* Writes the document as the next version of the configuration. */
void FakePlatform_SetConfig(FakePlatform *p, const char *text);
uint64_t FakePlatform_ConfigVersion(FakePlatform *p);

/* One HTTP server that serves several backend servers, one per port. Requests
 * other than health checks are passed to the handler with `ctx`. */
#define FAKE_BACKENDS_MAX 4
typedef struct {
    uint32_t count;
    char addresses[FAKE_BACKENDS_MAX][GW_ADDR_MAX];
    mg_request_handler handler;
    void *ctx;
    struct mg_context *http;
    char *ports;
    void *options;
} FakeBackends;

void FakeBackends_Start(FakeBackends *b, uint32_t count,
                        mg_request_handler handler, void *ctx);
void FakeBackends_Stop(FakeBackends *b);

/* One entry that runs in this process. */
typedef struct {
    char call_address[GW_ADDR_MAX];
    GwSettings *settings;
    char *dir; /* holds the key and token files */
    GwRuntime *rt;
} FakeEntry;

/* Starts an entry and adds it to the platform's list of instances. `more` is
 * "" or further JSON settings, each preceded by a comma. */
void FakeEntry_Start(FakeEntry *e, FakePlatform *p, const char *name,
                     const char *region, const char *more);
/* Stops the entry at once; `rt` may be NULL. */
void FakeEntry_Stop(FakeEntry *e);

#endif
