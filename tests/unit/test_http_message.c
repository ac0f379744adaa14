/* Bytes to messages and back. Whatever two readers could understand in two
 * ways must be refused, for a request smuggled inside another would run
 * unasked. */
#include "http/message.h"

#include <criterion/criterion.h>
#include <string.h>

typedef struct {
    GPtrArray *messages;
    bool head;
} Sink;

static void
keep(void *owner, GwHttpMessage *msg)
{
    g_ptr_array_add(((Sink *)owner)->messages, msg);
}

static bool
answers_head(void *owner)
{
    return ((Sink *)owner)->head;
}

static GwHttpParser *
parser(Sink *sink, bool requests)
{
    GwHttpParserParams params = {
        .requests = requests,
        .head_max = 400,
        .body_max = 64,
        .message = keep,
        .to_head = answers_head,
        .owner = sink,
    };

    sink->messages =
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
    const char *body; /* of the last message; NULL: not looked at */
} requests[] = {
    {"plain", "GET /a/b?c=d HTTP/1.1\r\nHost: x\r\n\r\n", GW_HTTP_OK, 1, ""},
    {"sized body", "PUT / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
     GW_HTTP_OK, 1, "abc"},
    {"chunked body",
     "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
     "2\r\nab\r\n1\r\nc\r\n0\r\nX-Trailer: t\r\n\r\n",
     GW_HTTP_OK, 1, "abc"},
    {"two in a row", "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n",
     GW_HTTP_OK, 2, ""},
    {"half a head", "GET /1 HTTP/1.1\r\nHost:", GW_HTTP_OK, 0, NULL},
    {"half a body", "PUT / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab",
     GW_HTTP_OK, 0, NULL},
    {"length beside chunks",
     "PUT / HTTP/1.1\r\nContent-Length: 3\r\n"
     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     GW_HTTP_BAD, 0, NULL},
    {"two lengths",
     "PUT / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
     GW_HTTP_BAD, 0, NULL},
    {"a coding before chunked",
     "PUT / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
     GW_HTTP_BAD, 0, NULL},
    {"control character in a value",
     "GET / HTTP/1.1\r\nA: b\x01"
     "c\r\n\r\n",
     GW_HTTP_BAD, 0, NULL},
    {"CONNECT", "CONNECT a:1 HTTP/1.1\r\n\r\n", GW_HTTP_BAD, 0, NULL},
    {"no method", "\x16\x03\x01", GW_HTTP_BAD, 0, NULL},
    {"upgrade is not taken up",
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
    {"good before bad", "GET /1 HTTP/1.1\r\n\r\nnonsense\r\n\r\n", GW_HTTP_BAD,
     1, ""},
};

/* Each case whole, and byte by byte: where the network cuts must not matter. */
Test(http_message, requests_are_read_or_refused)
{
    for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
        for (size_t step = 0; step < 2; step++) {
            Sink sink = {0};
            GwHttpParser *p = parser(&sink, true);
            size_t len = strlen(requests[i].bytes);
            size_t piece = step == 0 ? len : 1;
            GwHttpError error = GW_HTTP_OK;
            for (size_t at = 0; at < len; at += piece) {
                error = GwHttpParser_Feed(p, requests[i].bytes + at, piece);
            }
            cr_expect_eq(error, requests[i].error, "%s", requests[i].what);
            cr_expect_eq(sink.messages->len, requests[i].count, "%s",
                         requests[i].what);
            if (requests[i].body != NULL && sink.messages->len > 0) {
                GwHttpMessage *last =
                    sink.messages->pdata[sink.messages->len - 1];
                cr_expect_str_eq(last->body->str, requests[i].body, "%s",
                                 requests[i].what);
            }
            g_ptr_array_free(sink.messages, TRUE);
            GwHttpParser_Free(p);
        }
    }
}

static const struct {
    const char *what;
    const char *bytes;
    bool to_head;
    bool ends;
    GwHttpError error;
    guint count;
    const char *body;
    bool keep_alive;
} answers[] = {
    {"sized", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", false, false,
     GW_HTTP_OK, 1, "ab", true},
    {"without a length, ended", "HTTP/1.1 200 OK\r\n\r\nab", false, true,
     GW_HTTP_OK, 1, "ab", false},
    {"without a length, going on", "HTTP/1.1 200 OK\r\n\r\nab", false, false,
     GW_HTTP_OK, 0, NULL, false},
    {"sized, cut off", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", false,
     true, GW_HTTP_BAD, 0, NULL, false},
    {"chunked, cut off",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", false,
     true, GW_HTTP_BAD, 0, NULL, false},
    {"to a HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", true, false,
     GW_HTTP_OK, 1, "", true},
    {"no content", "HTTP/1.1 204 No Content\r\n\r\n", false, false, GW_HTTP_OK,
     1, "", true},
    {"closing",
     "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
     false, false, GW_HTTP_OK, 1, "", false},
    {"bytes behind it",
     "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naXYZ\r\n\r\n", false, false,
     GW_HTTP_BAD, 1, "a", true},
    {"not an answer", "garbage garbage\r\n\r\n", false, false, GW_HTTP_BAD, 0,
     NULL, false},
};

Test(http_message, answers_are_whole_or_none)
{
    for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
        Sink sink = {.head = answers[i].to_head};
        GwHttpParser *p = parser(&sink, false);
        GwHttpError error =
            GwHttpParser_Feed(p, answers[i].bytes, strlen(answers[i].bytes));
        if (answers[i].ends) {
            error = GwHttpParser_End(p);
        }
        cr_expect_eq(error, answers[i].error, "%s", answers[i].what);
        cr_assert_eq(sink.messages->len, answers[i].count, "%s",
                     answers[i].what);
        if (answers[i].body != NULL) {
            GwHttpMessage *msg = sink.messages->pdata[0];
            cr_expect_str_eq(msg->body->str, answers[i].body, "%s",
                             answers[i].what);
            cr_expect_eq(msg->keep_alive, answers[i].keep_alive, "%s",
                         answers[i].what);
        }
        g_ptr_array_free(sink.messages, TRUE);
        GwHttpParser_Free(p);
    }
}

/* What has been read decides whether a connection is idle, also behind a
 * whole message of the same read. */
Test(http_message, half_a_message_is_inside)
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
        Sink sink = {0};
        GwHttpParser *p = parser(&sink, true);
        const char *bytes = cases[i].bytes;
        cr_assert_eq(GwHttpParser_Feed(p, bytes, strlen(bytes)), GW_HTTP_OK);
        cr_expect_eq(GwHttpParser_IsInside(p), cases[i].inside, "%s", bytes);
        cr_expect_eq(GwHttpParser_IsInHead(p), cases[i].in_head, "%s", bytes);
        g_ptr_array_free(sink.messages, TRUE);
        GwHttpParser_Free(p);
    }
}

/* No bytes are not the end of the stream: an answer without a length would be
 * whole too early, and complete a second time at its end. */
Test(http_message, no_bytes_end_nothing)
{
    static const char bytes[] = "HTTP/1.1 200 OK\r\n\r\nab";
    Sink sink = {0};
    GwHttpParser *p = parser(&sink, false);

    cr_assert_eq(GwHttpParser_Feed(p, bytes, strlen(bytes)), GW_HTTP_OK);
    cr_assert_eq(GwHttpParser_Feed(p, "", 0), GW_HTTP_OK);
    cr_expect_eq(sink.messages->len, 0);
    cr_assert_eq(GwHttpParser_End(p), GW_HTTP_OK);
    cr_expect_eq(sink.messages->len, 1);
    g_ptr_array_free(sink.messages, TRUE);
    GwHttpParser_Free(p);
}

/* Callers send large bodies together. What finds no room is refused while it
 * comes, and the room is there again when a message is freed: without the bound
 * five bodies of the allowed size would end the process. */
Test(http_message, bodies_share_a_budget)
{
    static const struct {
        const char *what;
        const char *bytes;
        GwHttpError error;
    } cases[] = {
        {"fits", "PUT / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde",
         GW_HTTP_OK},
        {"sized, too much", "PUT / HTTP/1.1\r\nContent-Length: 6\r\n\r\n",
         GW_HTTP_NO_ROOM},
        {"chunked, too much",
         "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
         "3\r\nabc\r\n3\r\nabc\r\n",
         GW_HTTP_NO_ROOM},
        {"fits again", "PUT / HTTP/1.1\r\nContent-Length: 4\r\n\r\nabcd",
         GW_HTTP_OK},
    };
    GwHttpBudget budget = {.max = 5};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Sink sink = {.messages = g_ptr_array_new_with_free_func(
                         (GDestroyNotify)GwHttpMessage_Free)};
        GwHttpParserParams params = {.requests = true,
                                     .head_max = 400,
                                     .body_max = 64,
                                     .budget = &budget,
                                     .message = keep,
                                     .owner = &sink};
        GwHttpParser *p = GwHttpParser_Create(&params);
        cr_expect_eq(
            GwHttpParser_Feed(p, cases[i].bytes, strlen(cases[i].bytes)),
            cases[i].error, "%s", cases[i].what);
        cr_expect_leq(budget.held, 5, "%s", cases[i].what);
        GwHttpParser_Free(p);
        g_ptr_array_free(sink.messages, TRUE);
        cr_expect_eq(budget.held, 0, "%s", cases[i].what);
    }
}

Test(http_message, fields_of_one_connection_are_not_passed_on)
{
    static const char bytes[] =
        "PUT /x?y HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, X-Hop\r\n"
        "X-Hop: 1\r\nX-Keep: 2\r\nTE: trailers\r\nX-Drop: 3\r\n"
        "Keep-Alive: timeout=5\r\nUpgrade: h2c\r\nContent-Length: 2\r\n\r\nab";
    static const char *const drop[] = {"x-drop", NULL};
    Sink sink = {0};
    GwHttpParser *p = parser(&sink, true);
    GwHttpWrite how = {.drop = drop, .extra = "X-Own: 4\r\n"};
    GString *out = g_string_new(NULL);

    cr_assert_eq(GwHttpParser_Feed(p, bytes, strlen(bytes)), GW_HTTP_OK);
    GwHttpMessage_WriteRequest(sink.messages->pdata[0], &how, out);
    cr_expect_str_eq(out->str, "PUT /x?y HTTP/1.1\r\nHost: h\r\nX-Keep: 2\r\n"
                               "X-Own: 4\r\nContent-Length: 2\r\n\r\nab");
    g_string_free(out, TRUE);
    g_ptr_array_free(sink.messages, TRUE);
    GwHttpParser_Free(p);
}

Test(http_message, an_answer_without_a_length_gets_one)
{
    static const char bytes[] = "HTTP/1.1 500 Odd\r\nX-A: b\r\n\r\nxyz";
    Sink sink = {0};
    GwHttpParser *p = parser(&sink, false);
    GwHttpWrite how = {0};
    GString *out = g_string_new(NULL);

    cr_assert_eq(GwHttpParser_Feed(p, bytes, strlen(bytes)), GW_HTTP_OK);
    cr_assert_eq(GwHttpParser_End(p), GW_HTTP_OK);
    GwHttpMessage_WriteAnswer(sink.messages->pdata[0], &how, out);
    cr_expect_str_eq(out->str,
                     "HTTP/1.1 500 Internal Server Error\r\nX-A: b\r\n"
                     "Content-Length: 3\r\n\r\nxyz");
    g_string_free(out, TRUE);
    g_ptr_array_free(sink.messages, TRUE);
    GwHttpParser_Free(p);
}
