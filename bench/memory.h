#ifndef HICKORYCRANK_BENCH_MEMORY_H
#define HICKORYCRANK_BENCH_MEMORY_H

#include "config/settings_type.h"

#include <boost/asio/io_context.hpp>

namespace hickorycrank::bench {

/** Prints heap bytes of an engine against servers and against fan-out. */
void printMemory();

/**
 * Prints heap bytes of an idle connection to a backend server. The kernel's
 * buffers are not part of it.
 * @param Context Runs the connections.
 * @param Target Any HTTP server.
 */
void printConnectionMemory(boost::asio::io_context &Context,
                           const config::Endpoint &Target);

} // namespace hickorycrank::bench

#endif
