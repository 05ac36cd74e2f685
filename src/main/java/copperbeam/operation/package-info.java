/**
 * What staff say to a conductor that serves, and what they are told: the words of the door and the form of the figures.
 * Thin: {@link copperbeam.operation.OperatorCommands} turns a line into a message to its owner and the owner's word into a line.
 *
 * <p>Made by {@code program} where the configuration names a {@code control} address; else none of it is loaded.
 */
package copperbeam.operation;
