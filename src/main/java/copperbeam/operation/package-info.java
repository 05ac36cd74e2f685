/**
 * Operators' commands to a running conductor, and the format of the metrics they can ask for. A thin layer:
 * {@link copperbeam.operation.OperatorCommands} turns a command line into a message to the component in charge, and that
 * component's answer into a reply line.
 *
 * <p>Created by {@code program} if the configuration has a {@code control} address; otherwise none of it is loaded.
 */
package copperbeam.operation;
