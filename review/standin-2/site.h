/* A small deployment around the entries under test: the platform's store, the
 * upstreams, and what clients need. Plain POSIX threads and sockets; it shares
 * no code with the project. */
#ifndef REVIEW_SITE_H
#define REVIEW_SITE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* ---- Time and record ----------------------------------------------------- */
int64_t now_ms(void);      /* since the first call; the steady clock */
void sleep_until(int64_t at_ms);
void record_open(const char *path);
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* ---- Settings and processes of entries ----------------------------------- */
int free_port(void);
/* The rendered settings of an entry. Ports: call, ready, directory, control,
 * metrics and two adjacent peer ports. */
typedef struct {
    char name[32];
    char path[512];
    int call, ready, directory, control, metrics, peer;
    int pid;
    bool has_ended;
    int status; /* of waitpid */
} Entry;
extern const char *grace; /* "6s" */
extern int memory_mb;     /* 260 */
/* More lines of the settings, each ending with a comma; "" by default. */
extern const char *more_settings;
void entry_prepare(Entry *e, const char *folder, int index);
void entry_start(Entry *e, const char *program, const char *log);
bool entry_await_ready(const Entry *e, int64_t for_ms);
void entry_poll(Entry *e);              /* sets has_ended and status */
void entry_end(Entry *e, bool graceful); /* ends and reaps the process */

/* ---- Store ---------------------------------------------------------------- */
int store_start(void); /* returns the port */
extern int store_port;
void store_put(const char *table, const char *key, const char *text);
void store_remove(const char *table, const char *key);

/* ---- Upstreams ------------------------------------------------------------ */
typedef struct Upstream_s Upstream;
Upstream *upstream_start(const char *service, const char *id, int slots,
                         int work_ms);
/* The size of its answers' bodies; at first some tens of bytes. */
void upstream_set_body(Upstream *u, size_t bytes);
/* After so many in a thousand of their answers, the first `count` upstreams
 * send additional bytes, at the point where the next response on that
 * connection is expected: a whole message that answers no request. */
extern int extra_permille;
extern int extra_upstreams;
extern int extra_sent;
extern int queue_max;           /* requests that an upstream queues */
void upstream_beat_all(void); /* writes the status of all, as they do */

/* What happened to an attempt id at the upstreams. */
typedef struct {
    int arrived;  /* times that it was passed on to an upstream */
    int runs;     /* times that an upstream began to work on it */
    int finished; /* answers that upstreams wrote to their end */
    int64_t first_run_ms;
} Ran;
Ran ran_of(const char *id);

/* ---- Clients ---------------------------------------------------------------*/
int client_connect(int port); /* -1: failed */
bool client_send(int fd, const char *text, size_t len);
/* Reads one answer. Returns its status, 0 if the connection ended before its
 * end, -1 after the time. `seal`: whether it has the upstream's receipt. */
typedef struct {
    char held[1 << 16];
    size_t len;
    double retry_after_s; /* of the last answer; 0: none */
} Input;
int client_read(int fd, Input *in, int64_t until_ms, bool *seal, char id[64]);
int directory_ask(int port, char *out, size_t size); /* status */

#endif
