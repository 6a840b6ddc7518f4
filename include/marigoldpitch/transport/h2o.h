#ifndef MARIGOLDPITCH_TRANSPORT_H2O_H
#define MARIGOLDPITCH_TRANSPORT_H2O_H

/** The headers of libh2o, built with its own event loop instead of libuv. */

#define H2O_USE_LIBUV 0

extern "C"
{
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>
#include <h2o/socketpool.h>
}

#endif
