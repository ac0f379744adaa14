#include "fakes/member_net.h"
#include "common/log_events.h"

#include <stdio.h>
#include <string.h>

static bool
is_earlier(const GwNetMail *a, const GwNetMail *b)
{
    return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static GwNetMail *
mail_at(MemberNet *net, uint32_t i)
{
    return &g_array_index(net->mail, GwNetMail, i);
}

static void
swap_mail(MemberNet *net, uint32_t a, uint32_t b)
{
    GwNetMail mail = *mail_at(net, a);
    *mail_at(net, a) = *mail_at(net, b);
    *mail_at(net, b) = mail;
}

static void
push_mail(MemberNet *net, GwNetMail mail)
{
    g_array_append_val(net->mail, mail);
    uint32_t i = net->mail->len - 1;
    while (i > 0 && is_earlier(mail_at(net, i), mail_at(net, (i - 1) / 2))) {
        swap_mail(net, i, (i - 1) / 2);
        i = (i - 1) / 2;
    }
}

static GwNetMail
pop_mail(MemberNet *net)
{
    GwNetMail top = *mail_at(net, 0);
    uint32_t len = net->mail->len - 1;
    uint32_t i = 0;

    swap_mail(net, 0, len);
    g_array_set_size(net->mail, len);
    while (2 * i + 1 < len) {
        uint32_t child = 2 * i + 1;
        if (child + 1 < len &&
            is_earlier(mail_at(net, child + 1), mail_at(net, child))) {
            child++;
        }
        if (is_earlier(mail_at(net, i), mail_at(net, child))) {
            break;
        }
        swap_mail(net, i, child);
        i = child;
    }
    return top;
}

static void
start_node(MemberNet *net, uint32_t i, uint64_t start)
{
    GwNetNode *node = &net->nodes[i];
    GwNodeParams *p = &node->params;

    *p = (GwNodeParams){.probe_period_ms = 500,
                        .probe_timeout_ms = 250,
                        .suspect_timeout_ms = 1500,
                        .indirect_probes = 3,
                        .seed = GwRng_Next(&net->rng)};
    g_snprintf(p->name, GW_NAME_MAX, "n%u", i);
    g_snprintf(p->region, GW_NAME_MAX, "r%u", i % net->regions);
    g_snprintf(p->domain, GW_NAME_MAX, "d%u", i % 2);
    g_snprintf(p->peer_address, GW_ADDR_MAX, "%u", i);
    p->id = (GwNodeId){.node = GwName_Hash64(p->name), .start = start};
    node->members = GwMembers_Create(p);
    node->up = true;
    node->piggyback.digest_count = 1;
    node->piggyback.digests[0] =
        (GwDigest){.id = p->id, .service = 7, .seq = 1};
}

MemberNet *
MemberNet_Create(uint32_t count, uint32_t regions, uint64_t seed)
{
    MemberNet *net = g_new0(MemberNet, 1);

    net->count = count;
    net->regions = regions;
    net->delay_us = 10000;
    net->tick_us = 20000;
    net->now_us = 1000000;
    net->rng = GwRng_Make(seed);
    net->mail = g_array_new(FALSE, FALSE, sizeof(GwNetMail));
    for (uint32_t i = 0; i < count; i++) {
        start_node(net, i, 1);
    }
    return net;
}

void
MemberNet_Free(MemberNet *net)
{
    for (uint32_t i = 0; i < net->count; i++) {
        GwMembers_Free(net->nodes[i].members);
    }
    for (uint32_t i = 0; i < net->mail->len; i++) {
        GwMessage_Free(mail_at(net, i)->message);
    }
    g_array_free(net->mail, TRUE);
    GwActions_Free(&net->actions);
    g_free(net);
}

static void
enqueue_message(MemberNet *net, uint32_t from, GwSendAction *send)
{
    uint32_t to = (uint32_t)g_ascii_strtoull(send->address, NULL, 10);
    const GwHeartbeat *hb = &send->message->u.heartbeat;
    bool apart = from % net->regions != to % net->regions;

    net->sent++;
    net->updates += hb->update_count;
    net->digests += hb->digest_count;
    net->updates_max = MAX(net->updates_max, hb->update_count);
    net->digests_max = MAX(net->digests_max, hb->digest_count);
    if (GwRng_Below(&net->rng, 1000) < net->loss_permille ||
        (net->cut && apart)) {
        return;
    }
    int64_t delay = GwRng_Jitter(&net->rng, net->delay_us / 2, net->delay_us);
    push_mail(net, (GwNetMail){.at_us = net->now_us + delay,
                               .order = net->order++,
                               .to = to,
                               .message = send->message});
    send->message = NULL;
}

static void
count_failure_report(MemberNet *net, uint32_t by, const char *text, bool dead)
{
    uint32_t i =
        (uint32_t)g_ascii_strtoull(text + strlen("member=n"), NULL, 10);

    net->died += dead;
    if (net->nodes[i].up && !net->nodes[i].paused &&
        i % net->regions == by % net->regions) {
        net->wrong[by] += dead;
        net->suspected[by] += !dead;
    }
}

static void
run_actions(MemberNet *net, uint32_t from, bool received)
{
    uint32_t sends = 0;

    for (uint32_t i = 0; i < net->actions.count; i++) {
        GwAction *action = &net->actions.items[i];
        if (action->kind == GW_ACTION_SEND) {
            enqueue_message(net, from, &action->u.send);
            sends++;
        }
        else if (action->kind == GW_ACTION_LOG &&
                 (action->u.log.event == GW_LOG_MEMBER_DEAD ||
                  action->u.log.event == GW_LOG_MEMBER_SUSPECT)) {
            count_failure_report(net, from, action->u.log.text,
                                 action->u.log.event == GW_LOG_MEMBER_DEAD);
        }
    }
    if (received) {
        net->burst_max = MAX(net->burst_max, sends);
    }
    GwActions_Clear(&net->actions);
}

void
MemberNet_Deliver(MemberNet *net, uint32_t to, const GwMessage *msg)
{
    GwNetNode *node = &net->nodes[to];

    GwMembers_Receive(node->members, net->now_us, msg, &node->piggyback,
                      &net->actions);
    run_actions(net, to, true);
}

static void
deliver_due(MemberNet *net, int64_t until_us)
{
    while (net->mail->len > 0 && mail_at(net, 0)->at_us <= until_us) {
        GwNetMail mail = pop_mail(net);
        GwNetNode *node = &net->nodes[mail.to];
        net->now_us = MAX(net->now_us, mail.at_us);
        if (node->up && node->paused) {
            /* The socket buffer keeps messages while the process is paused. */
            mail.at_us = until_us + 1;
            push_mail(net, mail);
            continue;
        }
        if (node->up) {
            MemberNet_Deliver(net, mail.to, mail.message);
        }
        GwMessage_Free(mail.message);
    }
}

void
MemberNet_Run(MemberNet *net, int64_t for_us)
{
    int64_t end_us = net->now_us + for_us;

    while (net->now_us < end_us) {
        int64_t next_us = net->now_us + net->tick_us;
        /* A node that resumes after a pause ticks before it reads messages
         * received meanwhile. */
        for (uint32_t i = 0; i < net->count; i++) {
            GwNetNode *node = &net->nodes[i];
            if (!node->up || node->paused) {
                continue;
            }
            node->piggyback.digests[0].seq = (uint64_t)net->now_us;
            GwMembers_Tick(node->members, net->now_us, &node->piggyback,
                           &net->actions);
            run_actions(net, i, false);
        }
        deliver_due(net, next_us);
        net->now_us = next_us;
    }
}

void
MemberNet_List(MemberNet *net, uint32_t listed)
{
    GwInstanceListItem *items = g_new0(GwInstanceListItem, listed);
    GwInstanceList list = {.count = listed, .items = items};

    for (uint32_t i = 0; i < listed; i++) {
        g_strlcpy(items[i].name, net->nodes[i].params.name, GW_NAME_MAX);
        g_strlcpy(items[i].peer_address, net->nodes[i].params.peer_address,
                  GW_ADDR_MAX);
    }
    for (uint32_t i = 0; i < net->count; i++) {
        if (net->nodes[i].up) {
            GwMembers_ApplyList(net->nodes[i].members, net->now_us, &list,
                                &net->actions);
            run_actions(net, i, false);
        }
    }
    g_free(items);
}

void
MemberNet_Stop(MemberNet *net, uint32_t i)
{
    net->nodes[i].up = false;
}

void
MemberNet_Restart(MemberNet *net, uint32_t i)
{
    uint64_t start = net->nodes[i].params.id.start + 1;

    GwMembers_Free(net->nodes[i].members);
    start_node(net, i, start);
}

uint32_t
MemberNet_State(const MemberNet *net, uint32_t i, uint32_t j)
{
    const GwMembers *m = net->nodes[i].members;
    GwNodeId id = net->nodes[j].params.id;

    for (uint32_t k = 0; k < GwMembers_Count(m); k++) {
        const GwMember *member = GwMembers_At(m, k);
        if (GwNodeId_Equal(member->info.id, id)) {
            return member->info.state;
        }
    }
    return 0;
}

bool
MemberNet_Agrees(const MemberNet *net)
{
    bool agrees = true;

    for (uint32_t i = 0; i < net->count; i++) {
        for (uint32_t j = 0; j < net->count && net->nodes[i].up; j++) {
            uint32_t shown = i == j ? 0 : MemberNet_State(net, i, j);
            bool ok =
                i == j || (net->nodes[j].up == (shown == GW_MEMBER_ALIVE));
            if (!ok && net->count < 50) {
                fprintf(stderr, "node %u lists node %u (up %d) in state %u\n",
                        i, j, net->nodes[j].up, shown);
            }
            agrees = agrees && ok;
        }
    }
    return agrees;
}
