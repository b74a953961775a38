// A stand-in for a billing endpoint, as docs/operate/plans-and-usage.md states it, on loopback and with
// scripted faults: it takes the next batch of an exporter only, and says up to where it has them.
#pragma once

#include <Poco/Net/HTTPServer.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>

namespace shaletray::testbed {

struct BillingFaults {       // chances of each, by post
    double lost = 0.0;       // the batch is taken and the connection ends
    double refused = 0.0;    // 500, and nothing is taken
    double failed = 0.0;     // 500, and the batch is taken
    double late = 0.0;       // answered after half a second
    double twice = 0.0;      // the answer comes two times
    double forgets = 0.0;    // its last batch is gone before it looks
};

class StandInBilling {
public:
    explicit StandInBilling(std::uint64_t seed);
    ~StandInBilling();
    std::string url() const;

    void faults(BillingFaults faults);
    // A copy is made now; later it takes the place of what there is.
    void copy();
    void replace();

    using Batches = std::map<std::uint64_t, std::string>;
    std::map<std::string, Batches> batches() const;    // by exporter
    std::uint64_t posts() const;

    struct Answer {
        int status = 200;
        std::string body;
        bool cut = false, twice = false;
        int wait_ms = 0;
    };
    Answer answer(const std::string& exporter, std::uint64_t batch, std::string body);

private:
    mutable std::mutex mutex_;
    std::mt19937_64 random_;
    BillingFaults faults_;
    std::map<std::string, Batches> kept_, copy_;
    std::uint64_t posts_ = 0;
    std::unique_ptr<Poco::Net::HTTPServer> server_;
};

}    // namespace shaletray::testbed
