#include "fakes/fleet_internal.h"

#include <math.h>
#include <string.h>

#define SAME_REGION_US 1000
#define QUEUE_MAX      9
#define WARM_SHARE     0.25
#define LATE_WORTH     0.2
#define WINDOW_US      2000000
#define RETRIES_MAX    1
#define START_US       1000000

static double
scale_of(const Fleet *f)
{
    return f->p->scale > 0 ? f->p->scale : 1.0;
}

int64_t
Fleet_ScaledUs(const Fleet *f, double ms)
{
    return (int64_t)(ms * 1000 * scale_of(f));
}

void
Fleet_Schedule(Fleet *f, int64_t when_us, EventKind kind, void *subject)
{
    Event *e = g_new0(Event, 1);

    *e = (Event){.kind = kind, .subject = subject, .place = GW_HEAP_ABSENT};
    GwHeap_Push(&f->events, when_us, e, &e->place);
}

static double
random_double(Fleet *f)
{
    return ((double)(GwRng_Next(&f->rng) >> 11) + 1) * 0x1p-53;
}

static uint32_t
window_of(const Fleet *f, int64_t at_us)
{
    int64_t w =
        (int64_t)((double)(at_us - START_US) / scale_of(f)) / WINDOW_US;

    return (uint32_t)CLAMP(w, 0, FLEET_WINDOWS_MAX - 1);
}

/* ---- Callers ----------------------------------------------------------- */

static FleetKindWindow *
kind_window(Fleet *f, const Call *call)
{
    return &f->report
                .kinds[call->kind - f->p->kinds][window_of(f, call->first_us)];
}

static void
end_call(Fleet *f, Call *call, bool answered)
{
    uint32_t w = window_of(f, call->first_us);
    FleetWindow *window = &f->report.windows[w];
    FleetKindWindow *kind = kind_window(f, call);
    int64_t took_us = f->now_us + SAME_REGION_US - call->first_us;
    double worth = call->kind->worth;

    call->over = true;
    kind->answered += answered;
    kind->refused_again += !answered && call->tries > 0;
    if (!answered) {
        window->retry_or_end++;
    }
    else if (took_us <= Fleet_ScaledUs(f, call->kind->objective_ms)) {
        window->in_time++;
        kind->in_time++;
        f->earned[w] += worth;
    }
    else {
        window->late++;
        f->earned[w] += worth * LATE_WORTH;
    }
}

static void run_actions(Fleet *f, Entry *entry);

static void
arrive(Fleet *f, Call *call)
{
    GwArrival arrival = {
        .user = call,
        .host = "h",
        .path = call->kind->name,
        .key = call->key,
        .left_us = call->until_us - f->now_us,
    };
    uint32_t region = call->entry->region;
    uint32_t per = f->entries->len / f->p->regions;

    call->entry =
        f->entries->pdata[region + f->p->regions * GwRng_Below(&f->rng, per)];
    GwRouter_Arrive(call->entry->router, f->now_us, &arrival,
                    call->entry->actions);
    run_actions(f, call->entry);
}

static void
retry_or_end(Fleet *f, Call *call, uint32_t retry_after_ms)
{
    int64_t left_us = call->until_us - f->now_us;
    int64_t wait_us = MIN((int64_t)retry_after_ms * 1000, left_us / 3);

    call->request = NULL;
    if (call->tries >= RETRIES_MAX || left_us <= 0) {
        end_call(f, call, false);
        return;
    }
    call->tries++;
    kind_window(f, call)->refused_first++;
    Fleet_Schedule(f, f->now_us + wait_us + 2 * SAME_REGION_US, EV_RETRY,
                   call);
}

static double
burst_factor(const Fleet *f)
{
    double t = (double)(f->now_us - START_US) / 1e6 / scale_of(f);

    return t >= f->p->burst_from_s && t < f->p->burst_to_s ? f->p->burst : 1;
}

static void
schedule_arrival(Fleet *f, const FleetKind *kind)
{
    double per_us = kind->per_s * burst_factor(f) / 1e6 / scale_of(f);

    Fleet_Schedule(f, f->now_us + (int64_t)(-log(random_double(f)) / per_us),
                   EV_ARRIVE, (void *)kind);
}

static void
new_call(Fleet *f, const FleetKind *kind)
{
    Call *call = g_new0(Call, 1);
    uint32_t region = GwRng_Below(&f->rng, f->p->regions);
    uint32_t w = window_of(f, f->now_us);

    *call = (Call){
        .kind = kind,
        .entry = f->entries->pdata[region],
        .first_us = f->now_us,
        .until_us = f->now_us + Fleet_ScaledUs(f, kind->left_ms),
    };
    g_snprintf(call->key, sizeof(call->key), "%u-%u", region,
               GwRng_Below(&f->rng, kind->objects));
    call->object = g_str_hash(call->key) * 31ULL + (uintptr_t)kind;
    g_ptr_array_add(f->calls, call);
    f->report.windows[w].asked++;
    kind_window(f, call)->asked++;
    f->owed[w] += kind->worth;
    schedule_arrival(f, kind);
    arrive(f, call);
}

/* ---- Backend servers --------------------------------------------------- */

static bool
touch_object(Server *s, uint64_t object)
{
    GList *found = g_queue_find(&s->cache, (gpointer)object);

    if (found != NULL) {
        g_queue_delete_link(&s->cache, found);
    }
    g_queue_push_tail(&s->cache, (gpointer)object);
    if (g_queue_get_length(&s->cache) > s->service->keeps) {
        (void)g_queue_pop_head(&s->cache);
    }
    return found != NULL;
}

static int64_t
delay_us(const Fleet *f, const Entry *entry, const Server *s)
{
    return entry->region == s->region
               ? Fleet_ScaledUs(f, SAME_REGION_US / 1000.0)
               : Fleet_ScaledUs(f, f->p->far_ms);
}

static void
run(Fleet *f, Attempt *a)
{
    Server *s = a->server;
    const Call *call = a->call;
    double share = touch_object(s, call->object) ? WARM_SHARE : 1.0;
    double spread = 0.85 + 0.3 * random_double(f);

    s->running++;
    Fleet_Schedule(
        f, f->now_us + Fleet_ScaledUs(f, call->kind->work_ms * share * spread),
        EV_RUN_END, a);
}

static void
deliver(Fleet *f, Attempt *a)
{
    Server *s = a->server;

    if (a->dropped) {
        return;
    }
    if (s->running < s->service->slots) {
        run(f, a);
    }
    else if (g_queue_get_length(&s->queue) < QUEUE_MAX) {
        g_queue_push_tail(&s->queue, a);
    }
    else {
        a->retry_or_end = true;
        Fleet_Schedule(f, f->now_us + delay_us(f, a->call->entry, s),
                       EV_ANSWER, a);
    }
}

static void
start_queued(Fleet *f, Server *s)
{
    while (s->running < s->service->slots && !g_queue_is_empty(&s->queue)) {
        Attempt *a = g_queue_pop_head(&s->queue);
        if (!a->dropped) {
            run(f, a);
        }
    }
}

static void
end_run(Fleet *f, Attempt *a)
{
    a->server->running--;
    Fleet_Schedule(f, f->now_us + delay_us(f, a->call->entry, a->server),
                   EV_ANSWER, a);
    start_queued(f, a->server);
}

static void
answer(Fleet *f, Attempt *a)
{
    Call *call = a->call;
    GwAttemptEnd end = {
        .outcome = a->retry_or_end ? GW_ATTEMPT_REFUSED : GW_ATTEMPT_ANSWERED,
        .status = a->retry_or_end ? 503 : 200,
        .has_load = true,
        .running = a->server->running,
        .waiting = g_queue_get_length(&a->server->queue),
        .connect_us = 2 * delay_us(f, call->entry, a->server),
    };

    if (!a->dropped) {
        call->attempt = NULL;
        GwRouter_AttemptEnded(call->entry->router, f->now_us, call->request,
                              &end, call->entry->actions);
        run_actions(f, call->entry);
    }
}

/* ---- Entries ----------------------------------------------------------- */

static void
send(Fleet *f, Call *call, const char *id)
{
    Attempt *a = g_new0(Attempt, 1);
    Server *s = g_hash_table_lookup(f->by_id, id);
    uint32_t region = call->entry->region;
    uint32_t w = window_of(f, f->now_us);

    *a = (Attempt){.call = call, .server = s};
    call->attempt = a;
    g_ptr_array_add(f->attempts, a);
    f->end_run[region][w]++;
    f->sent_to_other_regions[region][w] += s->region != region;
    f->report.choices = (f->report.choices ^ s->id) * 0x100000001b3ULL;
    /* A new connection adds a round trip. */
    Fleet_Schedule(f, f->now_us + 3 * delay_us(f, call->entry, s), EV_DELIVER,
                   a);
}

static void
drop(Call *call)
{
    if (call->attempt != NULL) {
        call->attempt->dropped = true;
        call->attempt = NULL;
    }
}

static void
run_action(Fleet *f, const GwRouterAction *act)
{
    Call *call = act->user;

    switch (act->kind) {
    case GW_ROUTER_ACCEPT:
        call->request = act->request;
        break;
    case GW_ROUTER_SEND:
        send(f, call, GwServer_Id(act->server));
        break;
    case GW_ROUTER_CANCEL:
        drop(call);
        break;
    case GW_ROUTER_ANSWER:
        call->request = NULL;
        end_call(f, call, true);
        break;
    case GW_ROUTER_REPLY:
        if (act->why == GW_REPLY_SHED) {
            f->report.shed[window_of(f, f->now_us)]++;
        }
        if (act->status == 503) {
            retry_or_end(f, call, act->retry_after_ms);
        }
        else {
            call->request = NULL;
            end_call(f, call, false);
        }
        break;
    case GW_ROUTER_PASS_ON: /* no entry reaches another one here */
        GwRouter_PassedOnEnded(
            call->entry->router, f->now_us, call->request,
            &(GwPassedOnEnd){.attempt.outcome = GW_ATTEMPT_UNSENT},
            call->entry->actions);
        break;
    case GW_ROUTER_PROBE:
    case GW_ROUTER_DROP_SERVER:
    case GW_ROUTER_LOG_EJECTED:
    case GW_ROUTER_LOG_LEAVING:
    case GW_ROUTER_LOG_RESTING:
    case GW_ROUTER_LOG_RECOVERED:
        break;
    }
}

static void
run_actions(Fleet *f, Entry *entry)
{
    for (guint i = 0; i < entry->actions->len; i++) {
        GwRouterAction act = g_array_index(entry->actions, GwRouterAction, i);
        run_action(f, &act);
    }
    g_array_set_size(entry->actions, 0);
    int64_t due_us = GwRouter_NextDeadline(entry->router);
    if (!entry->is_tick_scheduled && due_us != INT64_MAX) {
        entry->is_tick_scheduled = true;
        Fleet_Schedule(f, MAX(due_us, f->now_us), EV_TICK, entry);
    }
}

static void
tick(Fleet *f, Entry *entry)
{
    entry->is_tick_scheduled = false;
    GwRouter_Tick(entry->router, f->now_us, entry->actions);
    run_actions(f, entry);
}

static void
step(Fleet *f, const Event *e)
{
    switch (e->kind) {
    case EV_ARRIVE:
        new_call(f, e->subject);
        break;
    case EV_RETRY:
        arrive(f, e->subject);
        break;
    case EV_TICK:
        tick(f, e->subject);
        break;
    case EV_DELIVER:
        deliver(f, e->subject);
        break;
    case EV_RUN_END:
        end_run(f, e->subject);
        break;
    case EV_ANSWER:
        answer(f, e->subject);
        break;
    case EV_REPORT:
        Fleet_SendReports(f);
        break;
    case EV_APPLY_REPORTS:
        Fleet_ApplyReports(f, e->subject);
        break;
    case EV_TOTAL:
        Fleet_SendTotal(f);
        break;
    case EV_APPLY_TOTAL:
        Fleet_ApplyTotal(f, e->subject);
        break;
    }
}

static void
summarize(Fleet *f)
{
    double owed = 0;
    double earned = 0;

    f->report.window_count = window_of(f, f->now_us);
    for (uint32_t w = 0; w < f->report.window_count; w++) {
        f->report.windows[w].worth =
            f->owed[w] > 0 ? f->earned[w] / f->owed[w] : 1;
        owed += f->owed[w];
        earned += f->earned[w];
        for (uint32_t r = 0; r < f->p->regions; r++) {
            f->report.cross_region_share[r][w] =
                f->end_run[r][w] > 0
                    ? (double)f->sent_to_other_regions[r][w] / f->end_run[r][w]
                    : 0;
        }
    }
    f->report.worth = owed > 0 ? earned / owed : 0;
}

FleetReport
Fleet_Run(const FleetParams *params)
{
    Fleet fleet = {
        .p = params,
        .rng = GwRng_Make(params->seed),
        .now_us = START_US,
        .entries = g_ptr_array_new(),
        .servers = g_ptr_array_new(),
        .by_id = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        .calls = g_ptr_array_new_with_free_func(g_free),
        .attempts = g_ptr_array_new_with_free_func(g_free),
    };
    Fleet *f = &fleet;
    int64_t end_us = START_US + Fleet_ScaledUs(f, params->seconds * 1000);

    Fleet_SetUp(f);
    for (uint32_t i = 0; i < params->kind_count; i++) {
        schedule_arrival(f, &params->kinds[i]);
    }
    Fleet_Schedule(f, f->now_us, EV_REPORT, NULL);
    if (params->overload_control) {
        Fleet_Schedule(f, f->now_us, EV_TOTAL, NULL);
    }
    while (GwHeap_TopKey(&f->events) <= end_us) {
        Event *e = GwHeap_Top(&f->events);
        f->now_us = GwHeap_TopKey(&f->events);
        GwHeap_Remove(&f->events, &e->place);
        step(f, e);
        g_free(e);
    }
    summarize(f);
    Fleet_TearDown(f);
    return f->report;
}
