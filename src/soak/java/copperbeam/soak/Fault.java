package copperbeam.soak;

/** A system call that {@link FaultShim} can make fail. The order is that of {@code enum fault} in fault_shim.c. */
enum Fault {
    ACCEPT,
    CONNECT,
    SOCKET,
    FILE_WRITE,
    FILE_SYNC,
    EPOLL_CREATE
}
