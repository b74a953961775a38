// A fake billing endpoint with the API of docs/operate/plans-and-usage.md, on loopback and with random
// faults: it accepts only the next batch of an exporter, and responds with the number of the last batch that
// it has.
#pragma once

#include <Poco/Net/HTTPServer.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>

namespace shaletray::testbed {

// Probabilities of faults for each request.
struct BillingFaults {
    double lost = 0.0;       // the batch is accepted and the connection is closed
    double refused = 0.0;    // 500, and the batch is not accepted
    double failed = 0.0;     // 500, although the batch is accepted
    double late = 0.0;       // the response is delayed by half a second
    double twice = 0.0;      // the response is sent twice
    double forgets = 0.0;    // the last batch is lost before the request is handled
};

// The HTTP server of the endpoint, on its own threads. All functions are thread-safe.
class StandInBilling {
public:
    explicit StandInBilling(std::uint64_t seed);
    ~StandInBilling();
    std::string url() const;

    void faults(BillingFaults faults);
    // copy() saves a snapshot of all batches, and replace() restores it.
    void copy();
    void replace();

    using Batches = std::map<std::uint64_t, std::string>;
    std::map<std::string, Batches> batches() const;    // by exporter
    std::uint64_t posts() const;

    // The response to one request, with its injected faults.
    struct Reply {
        int status = 200;
        std::string body;
        bool closes_connection = false, sends_twice = false;
        int delay_ms = 0;
    };
    // Handles one request; batch 0 only queries the last batch.
    Reply handle_batch(const std::string& exporter, std::uint64_t batch, std::string body);

private:
    mutable std::mutex mutex_;
    std::mt19937_64 random_;
    BillingFaults faults_;
    std::map<std::string, Batches> batches_, snapshot_;
    std::uint64_t posts_ = 0;
    std::unique_ptr<Poco::Net::HTTPServer> server_;
};

}    // namespace shaletray::testbed
