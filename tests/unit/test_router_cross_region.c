/* The limit on changes of the share of requests sent to other regions. */
#include "fakes/steering.h"
#include "router/router_internal.h"

#include <criterion/criterion.h>
#include <math.h>

#define STEP_US 10000
#define WORK_US 100000
#define LEFT_MS 3000

typedef struct {
    FakeRequest *req;
    int64_t end_us;
} Run;

typedef struct {
    int64_t at_us;
    bool far;
} Sent;

typedef struct {
    FakeSteering *f;
    GArray *runs; /* Run */
    GArray *sent; /* Sent */
    double due;
    int64_t work_us;
} Load;

static void
record_sent(Load *load, FakeRequest *req)
{
    Run run = {req, load->f->now_us + load->work_us};
    Sent sent = {load->f->now_us, req->server_id[0] == 'b'};

    g_array_append_val(load->runs, run);
    g_array_append_val(load->sent, sent);
}

static void
end_due(Load *load)
{
    for (guint i = 0; i < load->runs->len;) {
        Run run = g_array_index(load->runs, Run, i);
        if (run.end_us > load->f->now_us) {
            i++;
            continue;
        }
        g_array_remove_index_fast(load->runs, i);
        FakeSteering_EndAttempt(load->f, run.req, GW_ATTEMPT_ANSWERED, 200);
    }
}

/* Records waiting requests that were sent by the last step. */
static void
record_sent_waiting(Load *load)
{
    for (guint i = 0; i < load->f->requests->len; i++) {
        FakeRequest *req = load->f->requests->pdata[i];
        if (req->server != NULL && req->left_ms != UINT32_MAX) {
            req->left_ms = UINT32_MAX; /* recorded */
            record_sent(load, req);
        }
    }
}

static void
run_load(Load *load, double per_s, double seconds)
{
    for (double t = 0; t < seconds; t += STEP_US / 1e6) {
        end_due(load);
        for (load->due += per_s * STEP_US / 1e6; load->due >= 1;
             load->due -= 1) {
            (void)FakeSteering_Arrive(load->f, "/once/", NULL, LEFT_MS);
        }
        record_sent_waiting(load);
        FakeSteering_Advance(load->f, STEP_US);
    }
}

static double
share(const Load *load, int64_t from_us, int64_t to_us)
{
    uint32_t all = 0;
    uint32_t far = 0;

    for (guint i = 0; i < load->sent->len; i++) {
        const Sent *s = &g_array_index(load->sent, Sent, i);
        if (s->at_us >= from_us && s->at_us < to_us) {
            all++;
            far += s->far;
        }
    }
    return all > 0 ? (double)far / all : 0;
}

/* Returns the largest change of the share between consecutive windows of 2
 * s. */
static double
largest_share_change(const Load *load, int64_t from_us, int64_t to_us)
{
    double most = 0;

    for (int64_t at = from_us; at < to_us; at += 250000) {
        double before = share(load, at - 2000000, at);
        double after = share(load, at, at + 2000000);
        most = MAX(most, fabs(after - before));
    }
    return most;
}

static GwServer *
find_server(const Load *load, const char *id)
{
    return g_hash_table_lookup(load->f->router->servers, id);
}

static Load
start(void)
{
    Load load = {
        .f = FakeSteering_Create("r1", "d1"),
        .runs = g_array_new(FALSE, FALSE, sizeof(Run)),
        .sent = g_array_new(FALSE, FALSE, sizeof(Sent)),
        .work_us = WORK_US,
    };

    FakeSteering_Configure(load.f, 1, 1);
    FakeSteering_PutServer(load.f, "a1", "r1", "d1", 4);
    FakeSteering_PutServer(load.f, "a2", "r1", "d2", 4);
    FakeSteering_PutServer(load.f, "b1", "r2", "d3", 40);
    return load;
}

static void
finish(Load *load)
{
    cr_expect_str_eq(load->f->broken->str, "");
    FakeSteering_Free(load->f);
    g_array_free(load->runs, TRUE);
    g_array_free(load->sent, TRUE);
}

/* Guards against: a burst that fills the region's servers, and its end, move
 * much of the traffic at once. */
Test(router_cross_region, a_burst_changes_the_remote_share_slowly)
{
    Load load = start();
    double most;

    run_load(&load, 50, 8);
    int64_t calm_us = load.f->now_us;
    run_load(&load, 250, 4);
    run_load(&load, 50, 10);
    cr_expect_lt(share(&load, calm_us - 3000000, calm_us), 0.02);
    most = largest_share_change(&load, calm_us, load.f->now_us);
    cr_expect_lt(most, 0.15, "%.3f of the traffic moved within 2 s", most);
    cr_expect_gt(share(&load, calm_us + 3000000, calm_us + 4000000), 0.05,
                 "some did move");
    finish(&load);
}

/* Guards against: the limit refuses requests of a service that has no servers
 * in the region. */
Test(router_cross_region, requests_without_local_servers_are_not_refused)
{
    Load load = start();
    GwRouting *routing = FakeSteering_Routing(2, 1);
    GwServerInfo far = FakeSteering_Info("b2", "t", "r2", "d3", 40);
    uint32_t refused = 0;

    FakeSteering_MoveRoutes(routing, "t");
    GwRouter_PutServer(load.f->router, load.f->now_us, &far, load.f->actions);
    run_load(&load, 50, 8); /* in the region, to service "s" */
    cr_assert(GwRouter_SetRouting(load.f->router, routing));
    GwRouting_Unref(routing);
    for (int i = 0; i < 200; i++) {
        FakeRequest *req = FakeSteering_Arrive(load.f, "/once/", NULL, 3000);
        refused += req->status == 503;
        FakeSteering_Advance(load.f, 10000);
        FakeSteering_EndAttempt(load.f, req, GW_ATTEMPT_ANSWERED, 200);
    }
    cr_expect_eq(refused, 0, "%u of 200", refused);
    finish(&load);
}

/* Guards against: the limit refuses requests after the region has lost its
 * servers. */
Test(router_cross_region, lost_servers_lift_the_limit)
{
    Load load = start();

    run_load(&load, 50, 8);
    FakeSteering_RemoveServer(load.f, "a1");
    FakeSteering_RemoveServer(load.f, "a2");
    int64_t lost_us = load.f->now_us;
    run_load(&load, 50, 2);
    cr_expect_gt(share(&load, lost_us + 500000, load.f->now_us), 0.99);
    finish(&load);
}

/* Guards against: the limit is lifted when rows of servers are removed that
 * have run nothing for long, as after an outage of the store, and the share of
 * other regions jumps without any need. */
Test(router_cross_region, unused_servers_do_not_lift_the_limit)
{
    Load load = start();
    double most;

    run_load(&load, 60, 8);
    FakeSteering_PutServer(load.f, "a3", "r1", "d1", 4);
    GwServer *dead = find_server(&load, "a3");
    dead->eject_until_us = INT64_MAX;
    run_load(&load, 60, 6);
    int64_t burst_us = load.f->now_us;
    run_load(&load, 250, 0.5);
    FakeSteering_RemoveServer(load.f, "a3");
    run_load(&load, 250, 4);
    most = largest_share_change(&load, burst_us, load.f->now_us);
    cr_expect_lt(most, 0.15, "%.3f of the traffic moved within 2 s", most);
    finish(&load);
}

/* Guards against: a start with long, cold work fills a region that has few
 * servers, and most of its traffic then leaves at once. */
Test(router_cross_region, a_cold_start_of_long_work_changes_the_share_little)
{
    Load load = start();
    GwRouting *routing = FakeSteering_Routing(2, 1);

    for (int i = 0; i < 2; i++) {
        routing->hosts[0].routes[i].objective_ms = 2500;
        routing->hosts[0].routes[i].timeout_ms = 9000;
    }
    cr_assert(GwRouter_SetRouting(load.f->router, routing));
    GwRouting_Unref(routing);
    FakeSteering_PutServer(load.f, "a1", "r1", "d1", 40);
    FakeSteering_PutServer(load.f, "a2", "r1", "d2", 40);
    FakeSteering_PutServer(load.f, "b1", "r2", "d3", 400);
    load.work_us = 2500000;
    int64_t start_us = load.f->now_us;
    run_load(&load, 80, 3);
    load.work_us = 800000; /* warm by now */
    run_load(&load, 80, 6);
    double most = largest_share_change(&load, start_us + 2000000,
                                       load.f->now_us - 2000000);
    cr_expect_lt(most, 0.15, "%.3f of the traffic moved within 2 s", most);
    finish(&load);
}
