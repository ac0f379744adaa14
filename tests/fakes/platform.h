/* The platform in memory behind HTTP, and backend servers that a test
 * directs: what a real GwRuntime needs around it. */
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

/* One HTTP server that plays backend servers on several ports. Every request
 * except a health reading goes to the handler, with `ctx`. */
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

/* One daemon in this process. */
typedef struct {
    char call_address[GW_ADDR_MAX];
    GwSettings *settings;
    char *dir; /* of its secrets */
    GwRuntime *rt;
} FakeEntry;

/* Lists itself with the platform. `more` is "" or further settings, each
 * with a comma before it. */
void FakeEntry_Start(FakeEntry *e, FakePlatform *p, const char *name,
                     const char *region, const char *more);
/* Ends it at once, unless `rt` is NULL already. */
void FakeEntry_Stop(FakeEntry *e);

#endif
