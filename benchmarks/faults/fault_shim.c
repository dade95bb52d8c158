/* Preloaded into a front by benchmarks/faults/shim.py: steps of the wall clock, polls that return late, failing calls.
 *
 * The harness and the front share one small file, mapped into both. Only the front's own process is touched.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

struct control {
    volatile int64_t clock_step_ns;   /* added to the wall clock */
    volatile int64_t hold;            /* 1: the next poll that brings something returns only once this is 0 */
    volatile int64_t held;            /* 1 while a poll is held so */
    volatile int64_t accept_failures; /* so many more calls fail with accept_errno */
    volatile int64_t accept_errno;
    volatile int64_t setsockopt_failures; /* so many more calls on TCP options fail with ENOBUFS */
    volatile int64_t send_failures; /* so many more calls fail with send_errno */
    volatile int64_t send_errno;
    volatile int64_t recv_failures; /* so many more calls fail with recv_errno */
    volatile int64_t recv_errno;
    volatile int64_t bind_failures; /* so many more calls fail with bind_errno */
    volatile int64_t bind_errno;
    volatile int64_t disk_failures; /* so many more writes at a place in a file, or syncs, fail with disk_errno */
    volatile int64_t disk_errno;
    volatile int64_t polling; /* 1 while a poll waits */
};

static struct control *control;

static struct control *shared(void) {
    static struct control unused;
    if (!control) {
        const char *path = getenv("FAULT_SHIM_CONTROL");
        int file = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
        void *mapped = file < 0 ? MAP_FAILED : mmap(NULL, sizeof unused, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
        control = mapped == MAP_FAILED ? &unused : mapped;
        if (file >= 0)
            close(file);
    }
    return control;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

static int fails(volatile int64_t *failures, int64_t number) {
    if (*failures <= 0)
        return 0;
    --*failures;
    errno = (int)number;
    return 1;
}

int clock_gettime(clockid_t clock, struct timespec *told) {
    static int (*real)(clockid_t, struct timespec *);
    if (!real)
        real = REAL(clock_gettime);
    int result = real(clock, told);
    if (result == 0 && clock == CLOCK_REALTIME) {
        int64_t moment = told->tv_sec * 1000000000LL + told->tv_nsec + shared()->clock_step_ns;
        told->tv_sec = moment / 1000000000LL;
        told->tv_nsec = moment % 1000000000LL;
    }
    return result;
}

int epoll_wait(int poll, struct epoll_event *events, int most, int timeout) {
    static int (*real)(int, struct epoll_event *, int, int);
    if (!real)
        real = REAL(epoll_wait);
    shared()->polling = 1;
    int count = real(poll, events, most, timeout);
    shared()->polling = 0;
    if (count > 0 && shared()->hold) {
        int saved = errno;
        shared()->held = 1;
        while (shared()->hold)
            usleep(500);
        shared()->held = 0;
        errno = saved;
    }
    return count;
}

int accept4(int listener, struct sockaddr *address, socklen_t *size, int flags) {
    static int (*real)(int, struct sockaddr *, socklen_t *, int);
    if (!real)
        real = REAL(accept4);
    if (fails(&shared()->accept_failures, shared()->accept_errno))
        return -1;
    return real(listener, address, size, flags);
}

ssize_t send(int sock, const void *data, size_t size, int flags) {
    static ssize_t (*real)(int, const void *, size_t, int);
    if (!real)
        real = REAL(send);
    return fails(&shared()->send_failures, shared()->send_errno) ? -1 : real(sock, data, size, flags);
}

ssize_t recv(int sock, void *data, size_t size, int flags) {
    static ssize_t (*real)(int, void *, size_t, int);
    if (!real)
        real = REAL(recv);
    return fails(&shared()->recv_failures, shared()->recv_errno) ? -1 : real(sock, data, size, flags);
}

int bind(int sock, const struct sockaddr *address, socklen_t size) {
    static int (*real)(int, const struct sockaddr *, socklen_t);
    if (!real)
        real = REAL(bind);
    return fails(&shared()->bind_failures, shared()->bind_errno) ? -1 : real(sock, address, size);
}

#define DISK_CALL(name, parameters, arguments)                                                                     \
    ssize_t name parameters {                                                                                      \
        static ssize_t(*real) parameters;                                                                          \
        if (!real)                                                                                                 \
            real = REAL(name);                                                                                     \
        return fails(&shared()->disk_failures, shared()->disk_errno) ? -1 : real arguments;                        \
    }

DISK_CALL(pwrite, (int file, const void *data, size_t size, off_t at), (file, data, size, at))
DISK_CALL(pwrite64, (int file, const void *data, size_t size, off64_t at), (file, data, size, at))
DISK_CALL(pwritev, (int file, const struct iovec *parts, int count, off_t at), (file, parts, count, at))
DISK_CALL(pwritev64, (int file, const struct iovec *parts, int count, off64_t at), (file, parts, count, at))

int fdatasync(int file) {
    static int (*real)(int);
    if (!real)
        real = REAL(fdatasync);
    return fails(&shared()->disk_failures, shared()->disk_errno) ? -1 : real(file);
}

int setsockopt(int sock, int level, int option, const void *value, socklen_t size) {
    static int (*real)(int, int, int, const void *, socklen_t);
    if (!real)
        real = REAL(setsockopt);
    if (level == 6 && fails(&shared()->setsockopt_failures, ENOBUFS))
        return -1;
    return real(sock, level, option, value, size);
}
