@0xb4c7c0a1d35e9f62;

# Configuration updates between processes. Fields may only be added, at the end of their struct, and a process
# ignores fields that it does not know. `baseDigest` and `digest` cover only the fields of this first version:
# if later fields entered them, older processes would reject every update.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::configuration::wire");

struct Update {
  isDelta @0 :Bool;                 # otherwise the update is a complete configuration
  baseDigest @1 :UInt64;            # digest of the configuration that a delta applies to
  digest @2 :UInt64;                # digest of the resulting configuration
  version @3 :UInt64;
  limits @4 :Limits;
  hasTenants @5 :Bool;              # the configuration has a tenant list, though it may be empty
  # Added and modified entries, and the names of removed ones. In a delta each list is sorted by name.
  routes @6 :List(Route);
  services @7 :List(Service);
  tenants @8 :List(Tenant);
  removedRoutes @9 :List(Text);
  removedServices @10 :List(Text);
  removedTenants @11 :List(Text);
}

# Times are in microseconds.
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
  targets @9 :List(WeightedService);
}

struct WeightedService {
  service @0 :Text;
  weight @1 :UInt32;
}

struct Service {
  name @0 :Text;
  healthCheck @1 :Text;
  maxConnections @2 :Int32;
  isSharded @3 :Bool;
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
