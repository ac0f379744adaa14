/* A small stand-in of the users' platform and of upstreams, in one process:
 * the store (rows-get, rows-feed, rows-tx), upstreams that register there, and
 * what clients need. Each connection that is taken has a thread of its own.
 *
 * All addresses are loopback addresses. The record goes to the file that the
 * variable RECORD names. */
#ifndef REVIEW_SMALL_H
#define REVIEW_SMALL_H

#include <glib.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define EXIT_HELD    0
#define EXIT_BROKEN  1
#define EXIT_NOT_RUN 2

/* Milliseconds since the start of the process. */
int64_t NowMs(void);
void SleepMs(int64_t ms);
/* Writes a line with the time to the record. */
void Record(const char *format, ...) G_GNUC_PRINTF(1, 2);
/* Records why the case can't run, and exits with 2. */
void GiveUp(const char *format, ...) G_GNUC_PRINTF(1, 2);
/* Whether the disruption is to be made (TROUBLE is not 0). */
bool HasTrouble(void);

/* ---- Sockets ------------------------------------------------------------- */

int Listen(const char *ip, int port);
/* Connects within the time; -1 on failure. */
int Connect(const char *ip, int port, int timeout_ms);
/* The same, with the segments and the window of a client elsewhere: on loopback
 * the kernel would hold megabytes for it. */
int ConnectRemote(const char *ip, int port, int timeout_ms);
bool SendAll(int fd, const void *bytes, size_t len);
void StartThread(void *(*run)(void *), void *argument);

typedef struct {
    int fd;
    char *bytes; /* read, not yet taken */
    size_t len;
    size_t size;
} Reader;

/* Reads up to the end of a head within the time, and takes it. Returns NULL
 * at the end of the stream or of the time. Free with g_free(). A single LF ends
 * a line too, as RFC 9112, 2.2, allows a recipient. */
char *Reader_TakeHead(Reader *r, int timeout_ms);
/* Takes `len` bytes, which it drops. At most `per_ms` bytes a ms; 0: as fast
 * as they come. */
bool Reader_Drop(Reader *r, size_t len, size_t per_ms, int timeout_ms);
/* Takes `len` bytes into a new string. */
char *Reader_Take(Reader *r, size_t len, int timeout_ms);
void Reader_Clear(Reader *r);
/* Returns the value of a field of the head, or NULL. Free with g_free(). */
char *FindField(const char *head, const char *name);
size_t BodyLength(const char *head);
int StatusOf(const char *head);

/* ---- Store --------------------------------------------------------------- */

void Store_Start(const char *ip, int port);
void Store_Put(const char *table, const char *key, const char *text);

/* ---- Upstreams ----------------------------------------------------------- */

typedef struct Upstream Upstream;

struct Upstream {
    const char *id;
    const char *service;
    const char *ip;
    int port;
    const char *zone;
    int slots;
    /* Length of a run and of its answer, by the target of the request. */
    int (*work_ms)(const Upstream *u, const char *target);
    size_t (*answer_bytes)(const char *target);
    /* Bytes of long bodies (over 1 MB) that are read in a ms; 0: all. */
    size_t (*read_per_ms)(const Upstream *u);
    /* Part of the run that comes between the two halves of the answer. */
    int answer_ms;
};

/* Starts an upstream and registers it; `u` must stay. */
void Upstream_Start(const Upstream *u);

/* What is known of a request by its X-Attempt-Id. */
typedef struct {
    int runs;
    int answered;      /* runs whose whole answer an upstream has sent */
    int broken_off;    /* runs whose connection was closed before that */
    size_t body_bytes; /* of the last run */
    int64_t run_at_ms;
    int64_t answered_at_ms;
    int64_t broken_off_at_ms;
} Run;

Run Runs_Find(const char *id);

/* ---- Clients ------------------------------------------------------------- */

char *NewId(void); /* free with g_free() */
/* A request; with a Content-Length unless the method is GET. The body is sent
 * apart. */
char *WriteRequest(const char *method, const char *target, const char *id,
                   int left_ms, size_t body_len);
/* Whether the readiness address answers 200 within 900 ms. */
bool IsReady(const char *ip);
/* Waits until the entry is ready; gives up after 20 s. */
void AwaitReady(const char *ip);

#define HOST           "ficu95.example"
#define PORT_FRONT     8161
#define PORT_READY     8167
#define PORT_STORE     8169
#define PORT_UPSTREAMS 8400

#endif
