/* The HTTP server must report every closed connection. Backend servers count
 * open connections and refuse those above a limit: an unreported close would
 * inflate the count and refuse callers for no reason. */
#include "common/client.h"
#include "common/http.h"
#include "fakes/free_port.h"

#include <criterion/criterion.h>
#include <stdatomic.h>

static atomic_uint opened;
static atomic_uint closed;

static int
on_request(struct mg_connection *conn, void *data)
{
    if (mg_get_user_connection_data(conn) == NULL) {
        mg_set_user_connection_data(conn, &opened);
        atomic_fetch_add(&opened, 1);
    }
    return GsHttp_Reply(conn, 200, "", "{}");
}

static void
on_closed(void *data, void *conn_data)
{
    cr_expect_eq(conn_data, &opened);
    atomic_fetch_add(&closed, 1);
}

Test(standin_http, reports_closed_connections, .timeout = 30)
{
    char address[GW_ADDR_MAX];
    FreePort_Address(address);
    GsHttpOptions options = {
        .ports = address,
        .threads = 4,
        .handler = on_request,
        .closed = on_closed,
    };
    struct mg_context *http = GsHttp_Start(&options);
    cr_assert_not_null(http);
    for (uint32_t i = 1; i <= 3; i++) {
        GsClient client;
        GsReply reply;
        GsRequest request = {.method = "GET",
                             .address = address,
                             .path = "/",
                             .timeout_ms = 10000};
        GsClient_Init(&client);
        cr_expect_eq(GsClient_Send(&client, &request, &reply),
                     GS_SEND_COMPLETE);
        GsReply_Clear(&reply);
        GsClient_Clear(&client);
        while (atomic_load(&closed) < i) {
            g_usleep(200);
        }
    }
    cr_expect_eq(atomic_load(&opened), 3);
    mg_stop(http);
}
