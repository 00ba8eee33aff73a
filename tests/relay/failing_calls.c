/* Lets one kind of system call fail in a process, as Linux documents it, while the file FAIL_FLAG exists.
 *
 * FAIL_CALL is accept, connect, socket, interrupted (every second read, write and accept gives EINTR) or short
 * (reads and writes on sockets, and writes to files, take a few bytes at most). FAIL_ERRNO is the error's number.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#define REAL(name) \
    static __typeof__(&name) real; \
    if (!real) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)
#define FEW 7

static int active(const char *name) {
    const char *call = getenv("FAIL_CALL"), *flag = getenv("FAIL_FLAG");
    return call && flag && !strcmp(call, name) && access(flag, F_OK) == 0;
}

static int fails(const char *name) {
    if (!active(name)) return 0;
    errno = atoi(getenv("FAIL_ERRNO"));
    return 1;
}

static int interrupted(void) {
    static int count;
    if (!active("interrupted") || ++count % 2) return 0;
    errno = EINTR;
    return 1;
}

static size_t cut(size_t count) { return count > FEW && active("short") ? FEW : count; }

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    return fails("accept") || interrupted() ? -1 : real(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    return fails("connect") ? -1 : real(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    return fails("socket") ? -1 : real(domain, type, protocol);
}

ssize_t read(int fd, void *data, size_t count) {
    REAL(read);
    return interrupted() ? -1 : real(fd, data, cut(count));
}

ssize_t write(int fd, const void *data, size_t count) {
    REAL(write);
    return interrupted() ? -1 : real(fd, data, fd == 2 ? count : cut(count));
}

ssize_t send(int fd, const void *data, size_t count, int flags) {
    REAL(send);
    return interrupted() ? -1 : real(fd, data, cut(count), flags);
}

ssize_t recv(int fd, void *data, size_t count, int flags) {
    REAL(recv);
    return interrupted() ? -1 : real(fd, data, cut(count), flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    if (interrupted()) return -1;
    return active("short") && count > 0 ? write(fd, parts[0].iov_base, parts[0].iov_len) : real(fd, parts, count);
}
