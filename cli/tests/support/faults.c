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

#define MOST_RULES 16
#define SHORT (-1)
#define AHEAD (-2)
#define BEHIND (-3)
#define HOUR 3600
#define SHORT_BYTES 3

struct rule {
    char call[16];
    int action;
    long every, most;
    atomic_long calls, acted;
};

static struct rule rules[MOST_RULES];
static int rule_count;

static const struct { const char *name; int value; } errors[] = {
    {"short", SHORT}, {"ahead", AHEAD}, {"behind", BEHIND}, {"EIO", EIO}, {"EINTR", EINTR}, {"ENFILE", ENFILE}, {"EMFILE", EMFILE}, {"ENOBUFS", ENOBUFS},
    {"ECONNABORTED", ECONNABORTED}, {"EPROTO", EPROTO}, {"EADDRNOTAVAIL", EADDRNOTAVAIL}, {"ENETUNREACH", ENETUNREACH},
    {"EAGAIN", EAGAIN}, {"ETIMEDOUT", ETIMEDOUT}, {"EHOSTUNREACH", EHOSTUNREACH}, {"EADDRINUSE", EADDRINUSE},
};

__attribute__((constructor)) static void read_rules(void) {
    const char *text = getenv("FAULTS");
    char copy[1024], *next = copy, *one;
    if (!text || !*text) return;
    snprintf(copy, sizeof copy, "%s", text);
    while ((one = strsep(&next, ",")) && rule_count < MOST_RULES) {
        struct rule *rule = &rules[rule_count];
        char action[24] = "";
        rule->most = -1;
        int read = sscanf(one, "%15[^=]=%23[^/]/%ld/%ld", rule->call, action, &rule->every, &rule->most);
        int known = 0;
        for (size_t at = 0; at < sizeof errors / sizeof *errors; at++) {
            if (!strcmp(action, errors[at].name)) {
                rule->action = errors[at].value;
                known = 1;
            }
        }
        if (read < 3 || !known || rule->every < 1) {
            fprintf(stderr, "FAULTS: bad rule %s\n", one);
            abort();
        }
        rule_count++;
    }
}

/* Returns the action for this call: 0 for none, an error number, or SHORT, AHEAD or BEHIND. */
static int fault(const char *call) {
    for (int at = 0; at < rule_count; at++) {
        struct rule *rule = &rules[at];
        if (strcmp(rule->call, call)) continue;
        if ((atomic_fetch_add(&rule->calls, 1) + 1) % rule->every) continue;
        if (rule->most >= 0 && atomic_fetch_add(&rule->acted, 1) >= rule->most) continue;
        return rule->action;
    }
    return 0;
}

#define NEXT(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))
#define FAIL_AS(call) do { int action = fault(call); if (action > 0) { errno = action; return -1; } } while (0)

int socket(int domain, int type, int protocol) {
    FAIL_AS("socket");
    return NEXT(socket)(domain, type, protocol);
}

int bind(int fd, const struct sockaddr *address, socklen_t length) {
    FAIL_AS("bind");
    return NEXT(bind)(fd, address, length);
}

int listen(int fd, int backlog) {
    FAIL_AS("listen");
    return NEXT(listen)(fd, backlog);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    FAIL_AS("accept4");
    return NEXT(accept4)(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    FAIL_AS("connect");
    return NEXT(connect)(fd, address, length);
}

int epoll_wait(int epoll, struct epoll_event *events, int most, int timeout) {
    FAIL_AS("epoll_wait");
    return NEXT(epoll_wait)(epoll, events, most, timeout);
}

/* Fails only for the configuration file, which has this extension in the tests. */
int open64(const char *path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    mode_t mode = flags & O_CREAT ? va_arg(rest, mode_t) : 0;
    va_end(rest);
    size_t length = strlen(path);
    if (length > 5 && !strcmp(path + length - 5, ".json")) FAIL_AS("open");
    return ((int (*)(const char *, int, ...))dlsym(RTLD_NEXT, "open64"))(path, flags, mode);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int result = NEXT(clock_gettime)(clock, now);
    if (clock == CLOCK_REALTIME && !result) {
        int action = fault("clock");
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
    int action = is_network(fd) ? fault(call) : 0;
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
