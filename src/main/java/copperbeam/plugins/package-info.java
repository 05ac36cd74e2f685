/**
 * Request hooks implemented by WebAssembly modules, which can access only their own memory.
 */
package copperbeam.plugins;
