/* Parsing and writing of messages. Guards against request smuggling: input
 * whose message boundaries are ambiguous must be rejected, or a request hidden
 * in another one would be executed. */
#include "http/message.h"

#include <criterion/criterion.h>
#include <string.h>

typedef struct {
    GPtrArray *messages;
    bool head;
} Received;

static void
on_message(void *owner, GwHttpMessage *msg)
{
    g_ptr_array_add(((Received *)owner)->messages, msg);
}

static bool
is_next_head_response(void *owner)
{
    return ((Received *)owner)->head;
}

static GwHttpParser *
create_parser(Received *received, bool requests)
{
    GwHttpParserParams params = {
        .requests = requests,
        .head_max = 400,
        .body_max = 64,
        .message = on_message,
        .is_head_response = is_next_head_response,
        .owner = received,
    };

    received->messages =
        g_ptr_array_new_with_free_func((GDestroyNotify)GwHttpMessage_Free);
    return GwHttpParser_Create(&params);
}

#define LONG_50 "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define LONG_400                                                              \
    LONG_50 LONG_50 LONG_50 LONG_50 LONG_50 LONG_50 LONG_50 LONG_50

static const struct {
    const char *what;
    const char *bytes;
    GwHttpError error;
    guint count;
    const char *body; /* of the last message; NULL: not checked */
} requests[] = {
    {"plain", "GET /a/b?c=d HTTP/1.1\r\nHost: x\r\n\r\n", GW_HTTP_OK, 1, ""},
    {"sized body", "PUT / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
     GW_HTTP_OK, 1, "abc"},
    {"chunked body",
     "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
     "2\r\nab\r\n1\r\nc\r\n0\r\nX-Trailer: t\r\n\r\n",
     GW_HTTP_OK, 1, "abc"},
    {"two requests", "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n",
     GW_HTTP_OK, 2, ""},
    {"half a head", "GET /1 HTTP/1.1\r\nHost:", GW_HTTP_OK, 0, NULL},
    {"half a body", "PUT / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab",
     GW_HTTP_OK, 0, NULL},
    {"length beside chunks",
     "PUT / HTTP/1.1\r\nContent-Length: 3\r\n"
     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     GW_HTTP_MALFORMED, 0, NULL},
    {"two lengths",
     "PUT / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
     GW_HTTP_MALFORMED, 0, NULL},
    {"a name that begins like a coding",
     "PUT / HTTP/1.1\r\nTransfer-Encodingx: chunked\r\n"
     "Content-Length: 3\r\n\r\nabc",
     GW_HTTP_OK, 1, "abc"},
    {"such a name behind a coding",
     "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
     "Transfer-Encodingx: y\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
     GW_HTTP_MALFORMED, 0, NULL},
    {"such a name before a coding",
     "PUT / HTTP/1.1\r\nTransfer-Encodingx: y\r\nContent-Length: 3\r\n"
     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     GW_HTTP_MALFORMED, 0, NULL},
    {"a coding before chunked",
     "PUT / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
     GW_HTTP_MALFORMED, 0, NULL},
    {"control character in a value",
     "GET / HTTP/1.1\r\nA: b\x01"
     "c\r\n\r\n",
     GW_HTTP_MALFORMED, 0, NULL},
    {"CONNECT", "CONNECT a:1 HTTP/1.1\r\n\r\n", GW_HTTP_MALFORMED, 0, NULL},
    {"no method", "\x16\x03\x01", GW_HTTP_MALFORMED, 0, NULL},
    {"upgrade is ignored",
     "GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n"
     "GET /2 HTTP/1.1\r\n\r\n",
     GW_HTTP_OK, 2, ""},
    {"long head", "GET / HTTP/1.1\r\nA: " LONG_400 "\r\n\r\n",
     GW_HTTP_LONG_HEAD, 0, NULL},
    {"long target", "GET /" LONG_400 " HTTP/1.1\r\n\r\n", GW_HTTP_LONG_HEAD, 0,
     NULL},
    {"long body", "PUT / HTTP/1.1\r\nContent-Length: 65\r\n\r\n",
     GW_HTTP_LONG_BODY, 0, NULL},
    {"long chunks",
     "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n" LONG_50
     "aaaaaaaaaaaaaaa\r\n",
     GW_HTTP_LONG_BODY, 0, NULL},
    {"good before bad", "GET /1 HTTP/1.1\r\n\r\nnonsense\r\n\r\n",
     GW_HTTP_MALFORMED, 1, ""},
};

/* Feeds each case in one piece and byte by byte: the result must not depend on
 * the segmentation by the network. */
Test(http_message, requests_are_parsed_or_rejected)
{
    for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
        for (size_t step = 0; step < 2; step++) {
            Received received = {0};
            GwHttpParser *p = create_parser(&received, true);
            size_t len = strlen(requests[i].bytes);
            size_t piece = step == 0 ? len : 1;
            GwHttpError error = GW_HTTP_OK;
            for (size_t offset = 0; offset < len; offset += piece) {
                error =
                    GwHttpParser_Feed(p, requests[i].bytes + offset, piece);
            }
            cr_expect_eq(error, requests[i].error, "%s", requests[i].what);
            cr_expect_eq(received.messages->len, requests[i].count, "%s",
                         requests[i].what);
            if (requests[i].body != NULL && received.messages->len > 0) {
                GwHttpMessage *last =
                    received.messages->pdata[received.messages->len - 1];
                cr_expect_str_eq(last->body->str, requests[i].body, "%s",
                                 requests[i].what);
            }
            g_ptr_array_free(received.messages, TRUE);
            GwHttpParser_Free(p);
        }
    }
}

static const struct {
    const char *what;
    const char *bytes;
    bool is_head_response;
    bool ends;
    GwHttpError error;
    guint count;
    const char *body;
    bool keep_alive;
} responses[] = {
    {"sized", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", false, false,
     GW_HTTP_OK, 1, "ab", true},
    {"without a length, ended", "HTTP/1.1 200 OK\r\n\r\nab", false, true,
     GW_HTTP_OK, 1, "ab", false},
    {"without a length, not ended", "HTTP/1.1 200 OK\r\n\r\nab", false, false,
     GW_HTTP_OK, 0, NULL, false},
    {"sized, cut off", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", false,
     true, GW_HTTP_MALFORMED, 0, NULL, false},
    {"a name that begins like a coding",
     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
     "Transfer-Encodingx: chunked\r\n\r\nab",
     false, false, GW_HTTP_OK, 1, "ab", true},
    {"chunked, cut off",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", false,
     true, GW_HTTP_MALFORMED, 0, NULL, false},
    {"to a HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", true, false,
     GW_HTTP_OK, 1, "", true},
    {"no content", "HTTP/1.1 204 No Content\r\n\r\n", false, false, GW_HTTP_OK,
     1, "", true},
    {"closing",
     "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
     false, false, GW_HTTP_OK, 1, "", false},
    {"trailing bytes",
     "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naXYZ\r\n\r\n", false, false,
     GW_HTTP_MALFORMED, 1, "a", true},
    {"status 000", "HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n", false, true,
     GW_HTTP_MALFORMED, 0, NULL, false},
    {"status 101", "HTTP/1.1 101 x\r\nUpgrade: h2c\r\n\r\n", false, true,
     GW_HTTP_MALFORMED, 0, NULL, false},
    {"status 600", "HTTP/1.1 600 x\r\nContent-Length: 0\r\n\r\n", false, true,
     GW_HTTP_MALFORMED, 0, NULL, false},
    {"status 999", "HTTP/1.1 999 x\r\nContent-Length: 0\r\n\r\n", false, true,
     GW_HTTP_MALFORMED, 0, NULL, false},
    {"not an answer", "garbage garbage\r\n\r\n", false, false,
     GW_HTTP_MALFORMED, 0, NULL, false},
};

Test(http_message, only_complete_responses_are_delivered)
{
    for (size_t i = 0; i < G_N_ELEMENTS(responses); i++) {
        Received received = {.head = responses[i].is_head_response};
        GwHttpParser *p = create_parser(&received, false);
        GwHttpError error = GwHttpParser_Feed(p, responses[i].bytes,
                                              strlen(responses[i].bytes));
        if (responses[i].ends) {
            error = GwHttpParser_End(p);
        }
        cr_expect_eq(error, responses[i].error, "%s", responses[i].what);
        cr_assert_eq(received.messages->len, responses[i].count, "%s",
                     responses[i].what);
        if (responses[i].body != NULL) {
            GwHttpMessage *msg = received.messages->pdata[0];
            cr_expect_str_eq(msg->body->str, responses[i].body, "%s",
                             responses[i].what);
            cr_expect_eq(msg->keep_alive, responses[i].keep_alive, "%s",
                         responses[i].what);
        }
        g_ptr_array_free(received.messages, TRUE);
        GwHttpParser_Free(p);
    }
}

/* Guards against closing a connection as idle while a message is incomplete,
 * also when that message follows another one in the same read. */
Test(http_message, incomplete_messages_are_detected)
{
    static const struct {
        const char *bytes;
        bool inside;
        bool in_head;
    } cases[] = {
        {"GET / HTTP/1.1\r\n", true, true},
        {"GET / HTTP/1.1\r\n\r\n", false, false},
        {"GET / HTTP/1.1\r\n\r\n\r\n", false, false},
        {"GET / HTTP/1.1\r\n\r\nG", true, true},
        {"GET / HTTP/1.1\r\n\r\nPUT / HTTP/1.1\r\nContent-Length: 2\r\n\r\na",
         true, false},
        {"GET / HTTP/1.1\r\n\r\nPUT / HTTP/1.1\r\nContent-Length: 1\r\n\r\na",
         false, false},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Received received = {0};
        GwHttpParser *p = create_parser(&received, true);
        const char *bytes = cases[i].bytes;
        cr_assert_eq(GwHttpParser_Feed(p, bytes, strlen(bytes)), GW_HTTP_OK);
        cr_expect_eq(GwHttpParser_IsInMessage(p), cases[i].inside, "%s",
                     bytes);
        cr_expect_eq(GwHttpParser_IsInHead(p), cases[i].in_head, "%s", bytes);
        g_ptr_array_free(received.messages, TRUE);
        GwHttpParser_Free(p);
    }
}

/* Feeding zero bytes must not act as the end of the stream: a response without
 * a length would be completed too early, and a second time at its end. */
Test(http_message, zero_bytes_are_not_the_end)
{
    static const char bytes[] = "HTTP/1.1 200 OK\r\n\r\nab";
    Received received = {0};
    GwHttpParser *p = create_parser(&received, false);

    cr_assert_eq(GwHttpParser_Feed(p, bytes, strlen(bytes)), GW_HTTP_OK);
    cr_assert_eq(GwHttpParser_Feed(p, "", 0), GW_HTTP_OK);
    cr_expect_eq(received.messages->len, 0);
    cr_assert_eq(GwHttpParser_End(p), GW_HTTP_OK);
    cr_expect_eq(received.messages->len, 1);
    g_ptr_array_free(received.messages, TRUE);
    GwHttpParser_Free(p);
}

/* A body that exceeds the shared budget is rejected on arrival, and the budget
 * is released with the message. Without this limit, five concurrent bodies of
 * the maximum size exhaust the memory of the process. */
Test(http_message, bodies_share_a_budget)
{
    static const struct {
        const char *what;
        const char *bytes;
        GwHttpError error;
    } cases[] = {
        {"fits", "PUT / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde",
         GW_HTTP_OK},
        {"sized, over the budget",
         "PUT / HTTP/1.1\r\nContent-Length: 6\r\n\r\n", GW_HTTP_OVER_BUDGET},
        {"chunked, over the budget",
         "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
         "3\r\nabc\r\n3\r\nabc\r\n",
         GW_HTTP_OVER_BUDGET},
        {"fits again", "PUT / HTTP/1.1\r\nContent-Length: 4\r\n\r\nabcd",
         GW_HTTP_OK},
    };
    GwHttpBudget budget = {.max = 5};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Received received = {.messages = g_ptr_array_new_with_free_func(
                                 (GDestroyNotify)GwHttpMessage_Free)};
        GwHttpParserParams params = {.requests = true,
                                     .head_max = 400,
                                     .body_max = 64,
                                     .budget = &budget,
                                     .message = on_message,
                                     .owner = &received};
        GwHttpParser *p = GwHttpParser_Create(&params);
        cr_expect_eq(
            GwHttpParser_Feed(p, cases[i].bytes, strlen(cases[i].bytes)),
            cases[i].error, "%s", cases[i].what);
        cr_expect_leq(budget.held, 5, "%s", cases[i].what);
        GwHttpParser_Free(p);
        g_ptr_array_free(received.messages, TRUE);
        cr_expect_eq(budget.held, 0, "%s", cases[i].what);
    }
}

Test(http_message, hop_by_hop_fields_are_not_forwarded)
{
    static const char bytes[] =
        "PUT /x?y HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, X-Hop\r\n"
        "X-Hop: 1\r\nX-Keep: 2\r\nTE: trailers\r\nX-Drop: 3\r\n"
        "Keep-Alive: timeout=5\r\nUpgrade: h2c\r\nContent-Length: 2\r\n\r\nab";
    static const char *const drop[] = {"x-drop", NULL};
    Received received = {0};
    GwHttpParser *p = create_parser(&received, true);
    GwHttpWriteOptions options = {.drop = drop, .extra = "X-Own: 4\r\n"};
    GString *out = g_string_new(NULL);

    cr_assert_eq(GwHttpParser_Feed(p, bytes, strlen(bytes)), GW_HTTP_OK);
    GwHttpMessage_WriteRequest(received.messages->pdata[0], &options, out);
    cr_expect_str_eq(out->str, "PUT /x?y HTTP/1.1\r\nHost: h\r\nX-Keep: 2\r\n"
                               "X-Own: 4\r\nContent-Length: 2\r\n\r\nab");
    g_string_free(out, TRUE);
    g_ptr_array_free(received.messages, TRUE);
    GwHttpParser_Free(p);
}

Test(http_message, a_response_without_a_length_gets_one)
{
    static const char bytes[] = "HTTP/1.1 500 Odd\r\nX-A: b\r\n\r\nxyz";
    Received received = {0};
    GwHttpParser *p = create_parser(&received, false);
    GwHttpWriteOptions options = {0};
    GString *out = g_string_new(NULL);

    cr_assert_eq(GwHttpParser_Feed(p, bytes, strlen(bytes)), GW_HTTP_OK);
    cr_assert_eq(GwHttpParser_End(p), GW_HTTP_OK);
    GwHttpMessage_WriteResponse(received.messages->pdata[0], &options, out);
    cr_expect_str_eq(out->str,
                     "HTTP/1.1 500 Internal Server Error\r\nX-A: b\r\n"
                     "Content-Length: 3\r\n\r\nxyz");
    g_string_free(out, TRUE);
    g_ptr_array_free(received.messages, TRUE);
    GwHttpParser_Free(p);
}

#define ENDLESS_BYTES (1u << 20)

/* Guards against: chunk extensions, trailers or interim heads without end are
 * kept, or parsed for ever. */
Test(http_message, parts_without_end_are_rejected)
{
#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    static const struct {
        const char *name;
        const char *begin;
        const char *again;
    } cases[] = {
        {"head", "HTTP/1.1 200 OK\r\n", "A: 0123456789\r\n"},
        {"field", "HTTP/1.1 200 OK\r\nA: ", "0123456789"},
        {"field name", "HTTP/1.1 200 OK\r\n", "0123456789"},
        {"reason phrase", "HTTP/1.1 200 ", "0123456789"},
        {"chunk extension", CHUNKED "1;", "0123456789"},
        {"chunk size", CHUNKED, "0000000000"},
        {"trailers", CHUNKED "0\r\n", "A: 0123456789\r\n"},
        {"trailer", CHUNKED "0\r\nA: ", "0123456789"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Received received = {0};
        GwHttpParser *p = create_parser(&received, false);
        size_t len = strlen(cases[i].again);
        size_t fed = 0;
        (void)GwHttpParser_Feed(p, cases[i].begin, strlen(cases[i].begin));
        while (fed < ENDLESS_BYTES &&
               GwHttpParser_Feed(p, cases[i].again, len) == GW_HTTP_OK) {
            fed += len;
        }
        cr_expect_lt(fed, ENDLESS_BYTES, "%s", cases[i].name);
        cr_expect_eq(received.messages->len, 0, "%s", cases[i].name);
        GwHttpParser_Free(p);
        g_ptr_array_free(received.messages, TRUE);
    }
#undef CHUNKED
}
