package copperbeam.model;

import copperbeam.Api;
import java.time.Duration;
import java.util.Map;

/**
 * What a configuration tells a process, and the figures of the rules that the program does not read itself.
 *
 * @param idle connections that may stand idle at all servers together
 * @param giveUp for each class, how long its clients wait at most
 */
record WorldSettings(
        Api.Settings settings,
        Duration connectTimeout,
        Duration connectionIdle,
        int idle,
        Duration drainGrace,
        Duration answerSlack,
        Map<String, Duration> giveUp) {

    /** Where worlds get their settings. */
    interface Source {
        /** The same settings for the same arguments. */
        WorldSettings draw(long seed, int processes);
    }

    Api.RequestClass requestClass(String name) {
        return settings.classes().stream()
                .filter(c -> c.name().equals(name))
                .findFirst()
                .orElseThrow();
    }
}
