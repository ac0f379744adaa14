#include "standins/site/site.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

typedef struct {
    uv_pipe_t pipe;
    SiteCommandFn run;
    void *owner;
    GString *text; /* incomplete line */
    char buffer[512];
} Commands;

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    Commands *c = handle->data;

    (void)suggested;
    *buf = uv_buf_init(c->buffer, sizeof(c->buffer));
}

static void
run_line(Commands *c, char *line)
{
    char **words = g_strsplit(g_strstrip(line), " ", -1);

    if (words[0] != NULL) {
        c->run(c->owner, words);
    }
    g_strfreev(words);
}

static void
on_read(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
    Commands *c = stream->data;
    char *eol;

    if (nread <= 0) {
        return;
    }
    g_string_append_len(c->text, buf->base, nread);
    while ((eol = strchr(c->text->str, '\n')) != NULL) {
        char *line = g_strndup(c->text->str, (gsize)(eol - c->text->str));
        g_string_erase(c->text, 0, eol - c->text->str + 1);
        run_line(c, line);
        g_free(line);
    }
}

bool
SiteCommands_Open(uv_loop_t *loop, const char *path, SiteCommandFn run,
                  void *owner)
{
    /* Open for writing as well, so that the pipe has no end of file when a
     * writer closes it. */
    int fd = open(path, O_RDWR | O_NONBLOCK | O_CLOEXEC);

    if (fd < 0) {
        return false;
    }
    Commands *c = g_new0(Commands, 1);
    c->run = run;
    c->owner = owner;
    c->text = g_string_new(NULL);
    c->pipe.data = c;
    (void)uv_pipe_init(loop, &c->pipe, 0);
    if (uv_pipe_open(&c->pipe, fd) != 0) {
        (void)close(fd);
        return false;
    }
    return uv_read_start((uv_stream_t *)&c->pipe, on_alloc, on_read) == 0;
}
