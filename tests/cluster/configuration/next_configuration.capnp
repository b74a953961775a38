@0xd10f4b6a7c2e8a35;

# The schema of configuration.capnp as a later version may define it, with fields added to each struct.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shaletray::configuration::next");

struct Update {
  isDelta @0 :Bool;
  baseDigest @1 :UInt64;
  digest @2 :UInt64;
  version @3 :UInt64;
  limits @4 :Limits;
  hasTenants @5 :Bool;
  routes @6 :List(Route);
  services @7 :List(Service);
  tenants @8 :List(Tenant);
  removedRoutes @9 :List(Text);
  removedServices @10 :List(Text);
  removedTenants @11 :List(Text);
  sender @12 :Text;
  digestOfAll @13 :UInt64;
}
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
  mirror @10 :WeightedService;
  cost @11 :Float64 = 1.5;
}
struct WeightedService {
  service @0 :Text;
  weight @1 :UInt32;
  sticky @2 :Bool;
  zone @3 :Text;
}
struct Service {
  name @0 :Text;
  healthCheck @1 :Text;
  maxConnections @2 :Int32;
  tls @3 :Bool;
}
struct Tenant {
  name @0 :Text;
  apiKeys @1 :List(Text);
  hasPriority @2 :Bool;
  priority @3 :Int32;
  ratePerS @4 :Float64;
  burst @5 :Float64;
  labels @6 :List(Text);
}
struct Limits {
  maxHeaderBytes @0 :UInt64;
  maxBodyBytes @1 :UInt64;
  headerTimeout @2 :Int64;
  idleTimeout @3 :Int64;
  headers @4 :UInt32 = 100;
}
