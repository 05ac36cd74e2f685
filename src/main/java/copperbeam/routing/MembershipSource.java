package copperbeam.routing;

import copperbeam.Api.ListKind;
import copperbeam.Api.Member;
import java.net.InetSocketAddress;
import java.util.List;

/** Provides the list of servers and its changes. */
public interface MembershipSource {
    /** A server and the address it listens on. */
    record Entry(Member member, InetSocketAddress address) {}

    /** A complete list or only its changed entries, as {@code kind} tells. */
    record Change(ListKind kind, List<Entry> entries) {}

    /** Receives the changes. */
    interface Sink {
        void changed(Change change);
    }

    /** Passes the complete list and then each change to the sink until stopped; recovers from failures by itself. */
    void start(Sink sink);

    void stop();
}
