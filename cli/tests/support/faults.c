/* Injects failures into the system calls of a process under test, in the ways that Linux documents. Loaded with LD_PRELOAD
 * and configured by the environment variable FAULTS.
 *
 * FAULTS is a comma-separated list of rules "CALL=ACTION/EVERY" or "CALL=ACTION/EVERY/MOST". ACTION is the name of an
 * error, "short" for a short read or write, or "ahead" or "behind" for a wall clock that is off by an hour. A rule applies
 * to each EVERYth call, at most MOST times. Each rule counts its calls separately, so that the same calls fail in every
 * run. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>

#define MAX_RULES 16
#define SHORT (-1)
#define AHEAD (-2)
#define BEHIND (-3)
#define HOUR 3600
#define SHORT_BYTES 3

struct rule {
    char call[16];
    int action;
    long every, max_times;
    atomic_long calls, applied;
};

static struct rule rules[MAX_RULES];
static int rule_count;

static const struct { const char *name; int value; } actions[] = {
    {"short", SHORT}, {"ahead", AHEAD}, {"behind", BEHIND}, {"EIO", EIO}, {"EINTR", EINTR}, {"ENFILE", ENFILE}, {"EMFILE", EMFILE}, {"ENOBUFS", ENOBUFS},
    {"ECONNABORTED", ECONNABORTED}, {"EPROTO", EPROTO}, {"EADDRNOTAVAIL", EADDRNOTAVAIL}, {"ENETUNREACH", ENETUNREACH},
    {"EAGAIN", EAGAIN}, {"ETIMEDOUT", ETIMEDOUT}, {"EHOSTUNREACH", EHOSTUNREACH}, {"EADDRINUSE", EADDRINUSE},
};

__attribute__((constructor)) static void read_rules(void) {
    const char *text = getenv("FAULTS");
    char copy[1024], *next = copy, *rule_text;
    if (!text || !*text) return;
    snprintf(copy, sizeof copy, "%s", text);
    while ((rule_text = strsep(&next, ",")) && rule_count < MAX_RULES) {
        struct rule *rule = &rules[rule_count];
        char action[24] = "";
        rule->max_times = -1;
        int read = sscanf(rule_text, "%15[^=]=%23[^/]/%ld/%ld", rule->call, action, &rule->every, &rule->max_times);
        int is_known = 0;
        for (size_t index = 0; index < sizeof actions / sizeof *actions; index++) {
            if (!strcmp(action, actions[index].name)) {
                rule->action = actions[index].value;
                is_known = 1;
            }
        }
        if (read < 3 || !is_known || rule->every < 1) {
            fprintf(stderr, "FAULTS: invalid rule %s: expected CALL=ACTION/EVERY or CALL=ACTION/EVERY/MOST with a known action\n", rule_text);
            abort();
        }
        rule_count++;
    }
}

/* Returns the action for this call: 0 for none, an error number, or SHORT, AHEAD or BEHIND. */
static int next_action(const char *call) {
    for (int index = 0; index < rule_count; index++) {
        struct rule *rule = &rules[index];
        if (strcmp(rule->call, call)) continue;
        if ((atomic_fetch_add(&rule->calls, 1) + 1) % rule->every) continue;
        if (rule->max_times >= 0 && atomic_fetch_add(&rule->applied, 1) >= rule->max_times) continue;
        return rule->action;
    }
    return 0;
}

#define NEXT(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))
#define RETURN_FAULT(call) do { int action = next_action(call); if (action > 0) { errno = action; return -1; } } while (0)

int socket(int domain, int type, int protocol) {
    RETURN_FAULT("socket");
    return NEXT(socket)(domain, type, protocol);
}

int bind(int fd, const struct sockaddr *address, socklen_t length) {
    RETURN_FAULT("bind");
    return NEXT(bind)(fd, address, length);
}

int listen(int fd, int backlog) {
    RETURN_FAULT("listen");
    return NEXT(listen)(fd, backlog);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    RETURN_FAULT("accept4");
    return NEXT(accept4)(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    RETURN_FAULT("connect");
    return NEXT(connect)(fd, address, length);
}

int epoll_wait(int epoll, struct epoll_event *events, int max_events, int timeout) {
    RETURN_FAULT("epoll_wait");
    return NEXT(epoll_wait)(epoll, events, max_events, timeout);
}

/* Fails only for the configuration file, whose name ends with .json in the tests. */
int open64(const char *path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    mode_t mode = flags & O_CREAT ? va_arg(rest, mode_t) : 0;
    va_end(rest);
    size_t length = strlen(path);
    if (length > 5 && !strcmp(path + length - 5, ".json")) RETURN_FAULT("open");
    return ((int (*)(const char *, int, ...))dlsym(RTLD_NEXT, "open64"))(path, flags, mode);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int result = NEXT(clock_gettime)(clock, now);
    if (clock == CLOCK_REALTIME && !result) {
        int action = next_action("clock");
        now->tv_sec += action == AHEAD ? HOUR : action == BEHIND ? -HOUR : 0;
    }
    return result;
}

/* Faults apply only to network connections: the runtime's own socket pair for signals never blocks, and so is never
 * interrupted. */
static int is_network(int fd) {
    int domain = 0;
    socklen_t length = sizeof domain;
    return !getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length) && domain != AF_UNIX;
}

static size_t shortened(int fd, const char *call, size_t length, int *error) {
    int action = is_network(fd) ? next_action(call) : 0;
    *error = action > 0 ? action : 0;
    return action == SHORT && length > SHORT_BYTES ? SHORT_BYTES : length;
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    int error;
    length = shortened(fd, "recv", length, &error);
    if (error) { errno = error; return -1; }
    return NEXT(recv)(fd, buffer, length, flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    int error;
    length = shortened(fd, "send", length, &error);
    if (error) { errno = error; return -1; }
    return NEXT(send)(fd, buffer, length, flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    int error;
    struct iovec first = {0};
    if (count > 0) first = parts[0];
    size_t length = shortened(fd, "send", first.iov_len, &error);
    if (error) { errno = error; return -1; }
    if (length == first.iov_len) return NEXT(writev)(fd, parts, count);
    first.iov_len = length;
    return NEXT(writev)(fd, &first, 1);
}
