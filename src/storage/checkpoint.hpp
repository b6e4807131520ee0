// The checkpoint: the state that outlives a controller process, as keys and values of the key-value
// store.
//
//   sr/lead          the leader; bound to the leader's lease: the store deletes it on lease expiry
//   sr/epoch         the highest epoch granted; every write is conditional on the version of this
//                    key, which makes the version the fencing token of writes
//   sr/head          the manifest: the checkpoint's sequence number, unfinished scale-out requests,
//                    and recent job records, which are flushed to shards later
//   sr/s/<shard>     jobs: about twenty active or some hundreds of finished ones per shard
//   sr/b/<job>/<n>   the finished tasks of a large job, one piece of the bitmap per key
//   sr/c/<job>/<n>   the finished tasks of a large job in smaller pieces, used where the pieces
//                    of sr/b exceed the store's limit on values; versions from before gang
//                    scheduling don't read these keys
//   sr/features      the features that every controller understands; versions from before gang
//                    scheduling ignore this key
//   sr/m/<shard>     machines that may hold tasks, with their addresses and cached images
//   sr/q, sr/t       quota shares; see share_records.hpp
#pragma once

#include "storage/bitmap.hpp"
#include "storage/checkpoint_keys.hpp"
#include "storage/checkpoint_records.hpp"
#include "storage/snapshot.hpp"
