package copperbeam.routing;

import copperbeam.Api.ListKind;
import copperbeam.Api.Member;
import java.net.InetSocketAddress;
import java.util.List;

/** Where the list of servers comes from. */
public interface MembershipSource {
    /** A server and the address of its listener. */
    record Entry(Member member, InetSocketAddress address) {}

    /** A whole list, or what has changed in it. */
    record Change(ListKind kind, List<Entry> entries) {}

    /** Who is told of changes. */
    interface Sink {
        void changed(Change change);
    }

    /** Tells the sink of the whole list and then of each change, until stopped; mends itself. */
    void start(Sink sink);

    void stop();
}
