package copperbeam.model;

import copperbeam.Api;
import java.time.Duration;
import java.util.Map;

/**
 * The configuration of a process, and the limits that only the {@link Rule}s use.
 *
 * @param maxIdleConnections how many idle connections a process may keep to all servers together
 * @param answerSlack how long after a request's deadline its final answer may come
 * @param maxClientWait for each class, how long its clients wait at most
 */
record WorldSettings(
        Api.Settings moduleSettings,
        Duration connectTimeout,
        Duration connectionIdleTimeout,
        int maxIdleConnections,
        Duration drainGrace,
        Duration answerSlack,
        Map<String, Duration> maxClientWait) {

    /** Draws the settings of a world. */
    interface Source {
        /** Deterministic: returns the same settings for the same arguments. */
        WorldSettings draw(long seed, int processes);
    }

    Api.RequestClass requestClass(String name) {
        return moduleSettings.classes().stream()
                .filter(c -> c.name().equals(name))
                .findFirst()
                .orElseThrow();
    }
}
