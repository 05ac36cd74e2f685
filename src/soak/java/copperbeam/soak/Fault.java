package copperbeam.soak;

/** A system call that {@link FaultShim} can make fail; in the order of the shim's own list. */
enum Fault {
    ACCEPT,
    CONNECT,
    SOCKET,
    FILE_WRITE,
    FILE_SYNC,
    EPOLL_CREATE
}
