/*
 * A library that is preloaded into one process under test (LD_PRELOAD). It shifts the wall clock and makes system calls
 * fail as a control file demands, which the test maps and writes; copperbeam.soak.FaultShim uses the same layout.
 * Without a control file every call is passed to the C library unchanged. Monotonic clocks are never changed.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/types.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* Slots of the control file, 8 bytes each. The four slots of a fault are: error number, number of calls that are still
 * to fail, number of calls that have failed, and number of calls to let pass before the first failure. */
enum {
    CLOCK_OFFSET_NS = 0,
    SHORT_IO_BYTES = 1, /* limit of one read from or write to a socket; 0: no limit */
    SIGNAL_AT_LISTEN = 2, /* signal the process sends itself at its next listen; 0: none */
    FAULTS = 8, /* first slot of the faults */
    FAULT_PLACES = 4 /* slots per fault */
};
enum fault { ACCEPT, CONNECT, SOCKET, FILE_WRITE, FILE_SYNC, EPOLL_CREATE, FAULT_COUNT };

#define SIZE (8 * (FAULTS + FAULT_PLACES * FAULT_COUNT))
#define NS_PER_S 1000000000LL
#define FIRST_FILE 3 /* lower descriptors are standard input, output and error */

static volatile int64_t *control;

#define NEXT(name) ((__typeof__(&name)) dlsym(RTLD_NEXT, #name))

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("FAULT_SHIM_CONTROL");
    int fd = path == NULL ? -1 : NEXT(open)(path, O_RDWR | O_CLOEXEC);
    if (fd >= 0) {
        void *mapped = mmap(NULL, SIZE, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
        control = mapped == MAP_FAILED ? NULL : mapped;
        close(fd);
    }
}

/* Returns whether this call has to fail, and updates the counters of the fault; sets errno if it has to fail. */
static int strikes(enum fault which) {
    if (control == NULL) {
        return 0;
    }
    volatile int64_t *fault = control + FAULTS + FAULT_PLACES * which;
    if (fault[1] > 0 && fault[3] > 0 && __sync_fetch_and_sub(&fault[3], 1) > 0) {
        return 0;
    }
    if (fault[1] <= 0 || __sync_fetch_and_sub(&fault[1], 1) <= 0) {
        return 0;
    }
    __sync_fetch_and_add(&fault[2], 1);
    errno = (int) fault[0];
    return 1;
}

static int is_socket(int fd) {
    struct stat status;
    return fstat(fd, &status) == 0 && S_ISSOCK(status.st_mode);
}

static int is_regular_file(int fd) {
    struct stat status;
    return fd >= FIRST_FILE && fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
}

static size_t shortened(int fd, size_t count) {
    int64_t most = control == NULL ? 0 : control[SHORT_IO_BYTES];
    return most > 0 && count > (size_t) most && is_socket(fd) ? (size_t) most : count;
}

static int64_t offset(void) {
    return control == NULL ? 0 : control[CLOCK_OFFSET_NS];
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = NEXT(clock_gettime)(clock, time);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t stepped = time->tv_sec * NS_PER_S + time->tv_nsec + offset();
        time->tv_sec = stepped / NS_PER_S;
        time->tv_nsec = stepped % NS_PER_S;
    }
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
    (void) zone;
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    time->tv_sec = now.tv_sec;
    time->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *result) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (result != NULL) {
        *result = now.tv_sec;
    }
    return now.tv_sec;
}

int accept(int fd, struct sockaddr *restrict address, socklen_t *restrict length) {
    return strikes(ACCEPT) ? -1 : NEXT(accept)(fd, address, length);
}

int accept4(int fd, struct sockaddr *restrict address, socklen_t *restrict length, int flags) {
    return strikes(ACCEPT) ? -1 : NEXT(accept4)(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    return strikes(CONNECT) ? -1 : NEXT(connect)(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    return domain != AF_UNIX && strikes(SOCKET) ? -1 : NEXT(socket)(domain, type, protocol);
}

int epoll_create1(int flags) {
    int (*next)(int) = (int (*)(int)) dlsym(RTLD_NEXT, "epoll_create1");
    return strikes(EPOLL_CREATE) ? -1 : next(flags);
}

int listen(int fd, int backlog) {
    int result = NEXT(listen)(fd, backlog);
    if (result == 0 && control != NULL && control[SIGNAL_AT_LISTEN] > 0) {
        int number = (int) control[SIGNAL_AT_LISTEN];
        control[SIGNAL_AT_LISTEN] = 0;
        kill(getpid(), number);
    }
    return result;
}

ssize_t read(int fd, void *bytes, size_t count) {
    return NEXT(read)(fd, bytes, shortened(fd, count));
}

ssize_t write(int fd, const void *bytes, size_t count) {
    if (control != NULL && control[FAULTS + FAULT_PLACES * FILE_WRITE + 1] > 0 && is_regular_file(fd) && strikes(FILE_WRITE)) {
        return -1;
    }
    return NEXT(write)(fd, bytes, shortened(fd, count));
}

ssize_t pwrite64(int fd, const void *bytes, size_t count, off64_t at) {
    if (control != NULL && control[FAULTS + FAULT_PLACES * FILE_WRITE + 1] > 0 && is_regular_file(fd) && strikes(FILE_WRITE)) {
        return -1;
    }
    return NEXT(pwrite64)(fd, bytes, count, at);
}

int fsync(int fd) {
    return strikes(FILE_SYNC) ? -1 : NEXT(fsync)(fd);
}

int fdatasync(int fd) {
    return strikes(FILE_SYNC) ? -1 : NEXT(fdatasync)(fd);
}
