# Sets JVM_OPTIONS from limits.memory_mb of the file that GW_CONFIG names, for the `run` line of balancer.toml. Uses the shell's
# built-in commands alone, as no other program may be started. A missing or unreadable value counts as the default.
default_memory_mb=192
reserved_mb=60 # what the JVM needs outside of the heap
max_heap_mb=64
min_heap_mb=20 # with less, a crowd of clients fills it; the program then logs that memory_mb cannot be kept

memory_mb=$default_memory_mb
if [ -r "${GW_CONFIG:-}" ]; then
    while IFS= read -r line || [ -n "$line" ]; do
        case $line in
            *\"memory_mb\"*)
                value=${line#*\"memory_mb\"}
                value=${value#*:}
                value=${value%%[,\}]*}
                value=${value#"${value%%[! ]*}"}
                case $value in
                    *[eE]*) ;; # beyond any limit that matters
                    [0-9]*) memory_mb=${value%%[!0-9]*} ;;
                esac
                break
                ;;
        esac
    done < "$GW_CONFIG"
fi
[ "${#memory_mb}" -le 6 ] || memory_mb=$default_memory_mb

heap_mb=$((memory_mb - reserved_mb))
[ "$heap_mb" -le $max_heap_mb ] || heap_mb=$max_heap_mb
[ "$heap_mb" -ge $min_heap_mb ] || heap_mb=$min_heap_mb
initial_heap_mb=24
[ "$initial_heap_mb" -le "$heap_mb" ] || initial_heap_mb=$heap_mb

JVM_OPTIONS="-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xms${initial_heap_mb}m -Xmx${heap_mb}m -Xss512k"
JVM_OPTIONS="$JVM_OPTIONS -XX:MaxMetaspaceSize=48m -XX:ReservedCodeCacheSize=24m -XX:MaxDirectMemorySize=16m"
JVM_OPTIONS="$JVM_OPTIONS -XX:-UsePerfData -XX:SharedArchiveFile=target/copperbeam.jsa"
export MALLOC_ARENA_MAX=1 # else each thread may get an arena of its own
