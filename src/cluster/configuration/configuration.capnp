@0xb4c7c0a1d35e9f62;

# How a chart travels between the system's processes. Fields are only ever added, at the end of their struct,
# and a process leaves out what it does not know. `base` and `digest` are taken over the fields of this first
# form for good: were later ones to enter them, older processes would take every update for a damaged one.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::configuration::form");

struct Update {
  patch @0 :Bool;                   # else whole: onto nothing
  base @1 :UInt64;                  # of a patch: the digest of what it changes
  digest @2 :UInt64;                # of what it leads to
  version @3 :UInt64;
  limits @4 :Limits;
  asksForKeys @5 :Bool;             # there are tenants, if only an empty list
  # New and changed rows, and the names of those that go: in a patch each list by rising names.
  routes @6 :List(Route);
  services @7 :List(Service);
  tenants @8 :List(Tenant);
  routesGone @9 :List(Text);
  servicesGone @10 :List(Text);
  tenantsGone @11 :List(Text);
}

# Times are microseconds.
struct Route {
  name @0 :Text;
  hostname @1 :Text;
  pathPrefix @2 :Text;
  idempotent @3 :Bool;
  isPublic @4 :Bool;
  priority @5 :Int32;
  timeout @6 :Int64;
  targetLatency @7 :Int64;
  maxAttempts @8 :Int32;
  to @9 :List(Share);
}

struct Share {
  service @0 :Text;
  weight @1 :UInt32;
}

struct Service {
  name @0 :Text;
  healthCheck @1 :Text;
  maxConnections @2 :Int32;
}

struct Tenant {
  name @0 :Text;
  apiKeys @1 :List(Text);
  hasPriority @2 :Bool;
  priority @3 :Int32;
  ratePerS @4 :Float64;
  burst @5 :Float64;
}

struct Limits {
  maxHeaderBytes @0 :UInt64;
  maxBodyBytes @1 :UInt64;
  headerTimeout @2 :Int64;
  idleTimeout @3 :Int64;
}
