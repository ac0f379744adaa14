#include "admin/client.h"
#include "admin/edit.h"
#include "admin/http_internal.h"
#include "common/log_events.h"
#include "fakes/change_table.h"
#include "godwitridge_errors.h"

#include <criterion/criterion.h>
#include <string.h>

#define TOKEN "not-a-real-token"
#define DOC                                                                   \
    "{\"regions\": [{\"name\": \"ogre\", \"seats\": 2}, {\"name\": "          \
    "\"riga\", \"seats\": 2}], \"services\": [{\"name\": \"vatdesk\", "       \
    "\"deadline_max_ms\": 1000}], \"places\": [{\"service\": \"vatdesk\", "   \
    "\"region\": \"ogre\", \"backends\": [{\"name\": \"vd-1\", "              \
    "\"address\": \"127.0.0.1:9001\", \"slots\": 6}]}]}"

/* A server on a table in memory, and a client of it. */
typedef struct {
    ChangeTable *table;
    Fate fate;
    GwAdminHost host;
    GwAdmin *admin;
    GwAdminClient *client;
    uint64_t offered; /* version */
    char logged[512];
    uint32_t logged_event;
} Fixture;

static Fixture *fix;

static void
table_do(void *table, const GwTableRequest *request, GwTableReply *reply)
{
    ChangeTable_Do(table, request, fix->fate, reply);
}

static void
log_text(uint32_t event, const char *text)
{
    fix->logged_event = event;
    g_strlcpy(fix->logged, text, sizeof(fix->logged));
}

static int64_t
now_ms(void)
{
    return 1000;
}

static char *
a_page(void *ctx)
{
    return g_strdup("{}");
}

static char *
no_config(void *ctx, uint64_t *version)
{
    *version = 0;
    return NULL;
}

static void
offered(void *ctx, uint64_t version, const char *text, uint32_t len)
{
    fix->offered = version;
}

static void
set_up(void)
{
    fix = g_new0(Fixture, 1);
    fix->table = ChangeTable_Create();
    fix->host = (GwAdminHost){.dump = a_page,
                              .metrics = a_page,
                              .token = TOKEN,
                              .config_text = no_config,
                              .offer_config = offered,
                              .status = a_page};
    const GwRpc rpc = {.host = &fix->host,
                       .table = fix->table,
                       .table_do = table_do,
                       .table_clear = ChangeTable_ClearReply,
                       .log = log_text,
                       .now_ms = now_ms};
    GError *error = NULL;
    fix->admin = GwAdminHttp_Start(&rpc, "127.0.0.1:0", &error);
    cr_assert_not_null(fix->admin, "%s", error != NULL ? error->message : "");
    char address[32];
    g_snprintf(address, sizeof(address), "127.0.0.1:%u",
               GwAdminHttp_Port(fix->admin));
    fix->client = GwAdminClient_Create(address, TOKEN, 10000);
}

static void
tear_down(void)
{
    GwAdminClient_Free(fix->client);
    GwAdmin_Stop(fix->admin);
    ChangeTable_Free(fix->table);
    g_free(fix);
}

TestSuite(admin, .init = set_up, .fini = tear_down);

static Gw__Admin__ChangeReply *
apply(Gw__Admin__ApplyRequest *request, const char *id)
{
    GError *error = NULL;
    request->request_id = (char *)id;
    request->operator_name = (char *)"liga";
    ProtobufCMessage *reply =
        GwAdminClient_Call(fix->client, "Apply", &request->base,
                           &gw__admin__change_reply__descriptor, &error);
    cr_assert_not_null(reply, "%s", error != NULL ? error->message : "");
    return (Gw__Admin__ChangeReply *)reply;
}

static Gw__Admin__ChangeReply *
apply_document(const char *text, const char *id)
{
    Gw__Admin__ApplyRequest request = GW__ADMIN__APPLY_REQUEST__INIT;
    request.what_case = GW__ADMIN__APPLY_REQUEST__WHAT_DOCUMENT;
    request.document = (char *)text;
    return apply(&request, id);
}

static Gw__Admin__ChangeReply *
apply_change(Gw__Admin__Change *change, const char *id)
{
    Gw__Admin__Batch batch = GW__ADMIN__BATCH__INIT;
    Gw__Admin__ApplyRequest request = GW__ADMIN__APPLY_REQUEST__INIT;
    batch.n_changes = 1;
    batch.changes = &change;
    request.what_case = GW__ADMIN__APPLY_REQUEST__WHAT_BATCH;
    request.batch = &batch;
    return apply(&request, id);
}

static Gw__Admin__GetReply *
get(uint64_t version)
{
    Gw__Admin__GetRequest request = GW__ADMIN__GET_REQUEST__INIT;
    request.version = version;
    return (Gw__Admin__GetReply *)GwAdminClient_Call(
        fix->client, "Get", &request.base, &gw__admin__get_reply__descriptor,
        NULL);
}

#define CLEAR(message) protobuf_c_message_free_unpacked(&(message)->base, NULL)

Test(admin, a_document_and_a_drain_become_versions)
{
    Gw__Admin__ChangeReply *first = apply_document(DOC, "one");
    cr_assert_eq(first->outcome, GW__ADMIN__OUTCOME__ACCEPTED, "%s",
                 first->message);
    cr_expect_eq(fix->offered, 1);
    Gw__Admin__PlaceRef place = GW__ADMIN__PLACE_REF__INIT;
    place.service = (char *)"vatdesk";
    place.region = (char *)"ogre";
    Gw__Admin__Change change = GW__ADMIN__CHANGE__INIT;
    change.kind_case = GW__ADMIN__CHANGE__KIND_DRAIN_PLACE;
    change.drain_place = &place;
    Gw__Admin__ChangeReply *second = apply_change(&change, "two");
    cr_expect_eq(second->version, 2);
    cr_expect_eq(fix->logged_event, GW_LOG_ADMIN_ACCEPTED);
    cr_expect_not_null(strstr(fix->logged, "operator=liga request=two"));
    cr_expect_not_null(strstr(fix->logged, "drain_place vatdesk ogre"));
    cr_expect_null(strstr(fix->logged, TOKEN));
    Gw__Admin__GetReply *present = get(0);
    cr_expect_eq(present->version, 2);
    cr_expect_not_null(strstr(present->document, "\"drain\":true"));
    Gw__Admin__HistoryRequest ask = GW__ADMIN__HISTORY_REQUEST__INIT;
    Gw__Admin__HistoryReply *history =
        (Gw__Admin__HistoryReply *)GwAdminClient_Call(
            fix->client, "History", &ask.base,
            &gw__admin__history_reply__descriptor, NULL);
    cr_assert_eq(history->n_entries, 2);
    cr_expect_eq(history->entries[0]->version, 2);
    cr_expect_str_eq(history->entries[1]->what, "document");
    cr_expect_eq(history->entries[1]->when_ms, 1000);
    CLEAR(first);
    CLEAR(second);
    CLEAR(present);
    CLEAR(history);
}

Test(admin, a_change_of_what_is_not_there_is_refused_whole)
{
    CLEAR(apply_document(DOC, "one"));
    Gw__Admin__ServiceRef gone = GW__ADMIN__SERVICE_REF__INIT;
    gone.name = (char *)"vatdesk";
    Gw__Admin__Change change = GW__ADMIN__CHANGE__INIT;
    change.kind_case = GW__ADMIN__CHANGE__KIND_REMOVE_SERVICE;
    change.remove_service = &gone;
    Gw__Admin__ChangeReply *used = apply_change(&change, "two");
    cr_expect_eq(used->outcome, GW__ADMIN__OUTCOME__REFUSED);
    cr_expect_str_eq(used->message,
                     "places[0].service: no service is named \"vatdesk\"");
    gone.name = (char *)"lotgate";
    Gw__Admin__ChangeReply *absent = apply_change(&change, "three");
    cr_expect_eq(absent->code, GW_RESULT_NOT_FOUND);
    cr_expect_str_eq(absent->message,
                     "changes[0]: services: there is none with name lotgate");
    cr_expect_eq(fix->logged_event, GW_LOG_ADMIN_REFUSED);
    Gw__Admin__GetReply *present = get(0);
    cr_expect_eq(present->version, 1);
    CLEAR(used);
    CLEAR(absent);
    CLEAR(present);
}

/* The store is away: the operator reads "pending" and asks again later. */
Test(admin, without_the_table_the_outcome_is_pending)
{
    fix->fate = FATE_LOST_BEFORE;
    Gw__Admin__ChangeReply *pending = apply_document(DOC, "one");
    cr_expect_eq(pending->outcome, GW__ADMIN__OUTCOME__PENDING);
    cr_expect_eq(fix->offered, 0);
    fix->fate = FATE_DONE;
    Gw__Admin__OperationRequest ask = GW__ADMIN__OPERATION_REQUEST__INIT;
    ask.request_id = (char *)"one";
    Gw__Admin__ChangeReply *settled =
        (Gw__Admin__ChangeReply *)GwAdminClient_Call(
            fix->client, "GetOperation", &ask.base,
            &gw__admin__change_reply__descriptor, NULL);
    cr_expect_eq(settled->outcome, GW__ADMIN__OUTCOME__REFUSED);
    CLEAR(pending);
    CLEAR(settled);
}

Test(admin, a_caller_without_the_token_is_denied)
{
    char address[32];
    GError *error = NULL;
    g_snprintf(address, sizeof(address), "127.0.0.1:%u",
               GwAdminHttp_Port(fix->admin));
    GwAdminClient *other = GwAdminClient_Create(address, "wrong", 10000);
    cr_expect_null(GwAdminClient_Page(other, "/dump", &error));
    cr_assert_not_null(error);
    cr_expect_eq(error->code, GW_RESULT_DENIED);
    g_clear_error(&error);
    cr_expect_eq(fix->logged_event, GW_LOG_ADMIN_DENIED);
    char *metrics = GwAdminClient_Page(other, "/metrics", NULL);
    cr_expect_not_null(metrics);
    g_free(metrics);
    GwAdminClient_Free(other);
    char *dump = GwAdminClient_Page(fix->client, "/dump", NULL);
    cr_expect_str_eq(dump, "{}");
    g_free(dump);
}

Test(admin, an_unknown_method_is_said_so)
{
    GError *error = NULL;
    Gw__Admin__GetRequest request = GW__ADMIN__GET_REQUEST__INIT;
    cr_expect_null(GwAdminClient_Call(fix->client, "Gett", &request.base,
                                      &gw__admin__get_reply__descriptor,
                                      &error));
    cr_assert_not_null(error);
    cr_expect_not_null(strstr(error->message, "404"));
    g_clear_error(&error);
}

Test(admin_token, only_the_whole_token_is_allowed)
{
    static const struct {
        const char *token;
        const char *header;
        bool allowed;
    } cases[] = {
        {"abc", "Bearer abc", true},   {"abc", "Bearer ab", false},
        {"abc", "Bearer abcd", false}, {"abc", "Bearer abcabc", false},
        {"abc", "Bearer ", false},     {"abc", "abc", false},
        {"abc", NULL, false},          {"", "Bearer ", false},
        {NULL, "Bearer ", false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cr_expect_eq(GwAdminHttp_IsAllowed(cases[i].token, cases[i].header),
                     cases[i].allowed, "case %zu", i);
    }
}
