/* Admin server over HTTP: changes, history, tokens and unknown methods. */
#include "admin/client.h"
#include "admin/edit.h"
#include "admin/http_internal.h"
#include "common/log_events.h"
#include "fakes/admin_server.h"
#include "godwitridge_errors.h"

#include <criterion/criterion.h>
#include <string.h>

#define DOC                                                                   \
    "{\"regions\": [{\"name\": \"ogre\", \"seats\": 2}, {\"name\": "          \
    "\"riga\", \"seats\": 2}], \"services\": [{\"name\": \"vatdesk\", "       \
    "\"deadline_max_ms\": 1000}], \"places\": [{\"service\": \"vatdesk\", "   \
    "\"region\": \"ogre\", \"backends\": [{\"name\": \"vd-1\", "              \
    "\"address\": \"127.0.0.1:9001\", \"slots\": 6}]}]}"

static AdminServer *server;

static void
set_up(void)
{
    server = AdminServer_Start();
}

static void
tear_down(void)
{
    AdminServer_Stop(server);
}

TestSuite(admin, .init = set_up, .fini = tear_down);

static Gw__Admin__ChangeReply *
apply(Gw__Admin__ApplyRequest *request, const char *id)
{
    GError *error = NULL;
    request->request_id = (char *)id;
    request->operator_name = (char *)"liga";
    ProtobufCMessage *reply =
        GwAdminClient_Call(server->client, "Apply", &request->base,
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
        server->client, "Get", &request.base,
        &gw__admin__get_reply__descriptor, NULL);
}

#define CLEAR(message) protobuf_c_message_free_unpacked(&(message)->base, NULL)

Test(admin, document_and_drain_create_versions)
{
    Gw__Admin__ChangeReply *first = apply_document(DOC, "one");
    cr_assert_eq(first->outcome, GW__ADMIN__OUTCOME__ACCEPTED, "%s",
                 first->message);
    cr_expect_eq(server->offered, 1);
    Gw__Admin__PlaceRef place = GW__ADMIN__PLACE_REF__INIT;
    place.service = (char *)"vatdesk";
    place.region = (char *)"ogre";
    Gw__Admin__Change change = GW__ADMIN__CHANGE__INIT;
    change.kind_case = GW__ADMIN__CHANGE__KIND_DRAIN_PLACE;
    change.drain_place = &place;
    Gw__Admin__ChangeReply *second = apply_change(&change, "two");
    cr_expect_eq(second->version, 2);
    cr_expect_eq(server->logged_event, GW_LOG_ADMIN_ACCEPTED);
    cr_expect_not_null(strstr(server->logged, "operator=liga request=two"));
    cr_expect_not_null(strstr(server->logged, "drain_place vatdesk ogre"));
    cr_expect_null(strstr(server->logged, ADMIN_SERVER_TOKEN));
    Gw__Admin__GetReply *current = get(0);
    cr_expect_eq(current->version, 2);
    cr_expect_not_null(strstr(current->document, "\"drain\":true"));
    Gw__Admin__HistoryRequest request = GW__ADMIN__HISTORY_REQUEST__INIT;
    Gw__Admin__HistoryReply *history =
        (Gw__Admin__HistoryReply *)GwAdminClient_Call(
            server->client, "History", &request.base,
            &gw__admin__history_reply__descriptor, NULL);
    cr_assert_eq(history->n_entries, 2);
    cr_expect_eq(history->entries[0]->version, 2);
    cr_expect_str_eq(history->entries[1]->what, "document");
    cr_expect_eq(history->entries[1]->when_ms, 1000);
    CLEAR(history);
    request.before = 2;
    history = (Gw__Admin__HistoryReply *)GwAdminClient_Call(
        server->client, "History", &request.base,
        &gw__admin__history_reply__descriptor, NULL);
    cr_assert_eq(history->n_entries, 1);
    cr_expect_eq(history->entries[0]->version, 1);
    CLEAR(first);
    CLEAR(second);
    CLEAR(current);
    CLEAR(history);
}

Test(admin, change_of_an_absent_or_used_item_is_refused)
{
    CLEAR(apply_document(DOC, "one"));
    Gw__Admin__ServiceRef service = GW__ADMIN__SERVICE_REF__INIT;
    service.name = (char *)"vatdesk";
    Gw__Admin__Change change = GW__ADMIN__CHANGE__INIT;
    change.kind_case = GW__ADMIN__CHANGE__KIND_REMOVE_SERVICE;
    change.remove_service = &service;
    Gw__Admin__ChangeReply *in_use = apply_change(&change, "two");
    cr_expect_eq(in_use->outcome, GW__ADMIN__OUTCOME__REFUSED);
    cr_expect_str_eq(in_use->message,
                     "places[0].service: no service is named \"vatdesk\"");
    service.name = (char *)"lotgate";
    Gw__Admin__ChangeReply *absent = apply_change(&change, "three");
    cr_expect_eq(absent->code, GW_RESULT_NOT_FOUND);
    cr_expect_str_eq(absent->message,
                     "changes[0]: services: no item with name lotgate");
    cr_expect_eq(server->logged_event, GW_LOG_ADMIN_REFUSED);
    Gw__Admin__GetReply *current = get(0);
    cr_expect_eq(current->version, 1);
    CLEAR(in_use);
    CLEAR(absent);
    CLEAR(current);
}

/* While the table is unavailable the outcome of a change is pending; a later
 * GetOperation settles it. */
Test(admin, outcome_is_pending_while_the_table_is_unavailable)
{
    server->fate = FATE_LOST_BEFORE;
    Gw__Admin__ChangeReply *pending = apply_document(DOC, "one");
    cr_expect_eq(pending->outcome, GW__ADMIN__OUTCOME__PENDING);
    cr_expect_eq(server->offered, 0);
    server->fate = FATE_DONE;
    Gw__Admin__OperationRequest request = GW__ADMIN__OPERATION_REQUEST__INIT;
    request.request_id = (char *)"one";
    Gw__Admin__ChangeReply *settled =
        (Gw__Admin__ChangeReply *)GwAdminClient_Call(
            server->client, "GetOperation", &request.base,
            &gw__admin__change_reply__descriptor, NULL);
    cr_expect_eq(settled->outcome, GW__ADMIN__OUTCOME__REFUSED);
    CLEAR(pending);
    CLEAR(settled);
}

Test(admin, client_without_the_token_is_denied)
{
    GError *error = NULL;
    GwAdminClient *other =
        GwAdminClient_Create(server->address, "wrong", 10000);
    cr_expect_null(GwAdminClient_Page(other, "/dump", &error));
    cr_assert_not_null(error);
    cr_expect_eq(error->code, GW_RESULT_DENIED);
    g_clear_error(&error);
    cr_expect_eq(server->logged_event, GW_LOG_ADMIN_DENIED);
    char *metrics = GwAdminClient_Page(other, "/metrics", NULL);
    cr_expect_not_null(metrics);
    g_free(metrics);
    GwAdminClient_Free(other);
    char *dump = GwAdminClient_Page(server->client, "/dump", NULL);
    cr_expect_not_null(strstr(dump, "members"));
    g_free(dump);
}

Test(admin, unknown_method_gives_status_404)
{
    GError *error = NULL;
    Gw__Admin__GetRequest request = GW__ADMIN__GET_REQUEST__INIT;
    cr_expect_null(GwAdminClient_Call(server->client, "Gett", &request.base,
                                      &gw__admin__get_reply__descriptor,
                                      &error));
    cr_assert_not_null(error);
    cr_expect_not_null(strstr(error->message, "404"));
    g_clear_error(&error);
}

Test(admin_token, only_the_exact_token_is_allowed)
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
