// Cap'n Proto encoding and decoding of single entries and of limits.
#pragma once

#include "cluster/configuration/configuration.capnp.h"
#include "cluster/configuration/configuration.h"

namespace shaletray::configuration {

void encode(const Route& route, wire::Route::Builder builder);
void encode(const Service& service, wire::Service::Builder builder);
void encode(const Tenant& tenant, wire::Tenant::Builder builder);
void encode(const Limits& limits, wire::Limits::Builder builder);

// The decoders throw kj::Exception where the message is malformed.
Route decode(wire::Route::Reader reader);
Service decode(wire::Service::Reader reader);
Tenant decode(wire::Tenant::Reader reader);
Limits decode(wire::Limits::Reader reader);

}    // namespace shaletray::configuration
