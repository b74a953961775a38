#include "stand_ins/billing.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <fmt/format.h>

#include <charconv>
#include <chrono>
#include <thread>

namespace shaletray::testbed {
namespace {

using namespace Poco::Net;

class Handler : public HTTPRequestHandler {
public:
    explicit Handler(StandInBilling& of) : owner_(of) {}
    void handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) override {
        std::string body, exporter = request.get("X-Exporter", "");
        Poco::StreamCopier::copyToString(request.stream(), body);
        std::uint64_t batch = 0;
        const std::string number = request.get("X-Batch", "0");
        std::from_chars(number.data(), number.data() + number.size(), batch);
        const bool asks = request.getMethod() == HTTPRequest::HTTP_GET;
        if (!asks && request.get("Idempotency-Key", "") != fmt::format("{}:{}", exporter, batch)) {
            response.setStatus(HTTPResponse::HTTP_BAD_REQUEST);
            response.send();
            return;
        }
        const StandInBilling::Answer a = owner_.answer(exporter, asks ? 0 : batch, std::move(body));
        if (a.wait_ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(a.wait_ms));
        if (a.cut) {
            static_cast<HTTPServerRequestImpl&>(request).socket().shutdown();
            return;
        }
        response.setStatus(static_cast<HTTPResponse::HTTPStatus>(a.status));
        response.setKeepAlive(false);
        response.setContentLength(static_cast<int>(a.body.size()));
        std::ostream& out = response.send();
        out << a.body;
        out.flush();
        if (!a.twice) return;
        const std::string again =
            fmt::format("HTTP/1.1 {} Again\r\nContent-Length: {}\r\n\r\n{}", a.status, a.body.size(), a.body);
        static_cast<HTTPServerRequestImpl&>(request).socket().sendBytes(again.data(),
                                                                        static_cast<int>(again.size()));
    }

private:
    StandInBilling& owner_;
};

class Factory : public HTTPRequestHandlerFactory {
public:
    explicit Factory(StandInBilling& of) : owner_(of) {}
    HTTPRequestHandler* createRequestHandler(const HTTPServerRequest&) override {
        return new Handler(owner_);
    }

private:
    StandInBilling& owner_;
};

}    // namespace

StandInBilling::StandInBilling(std::uint64_t seed) : random_(seed) {
    auto* params = new HTTPServerParams;    // the server counts its owners
    params->setKeepAlive(false);
    params->setMaxThreads(4);
    server_ =
        std::make_unique<HTTPServer>(new Factory(*this), ServerSocket(SocketAddress("127.0.0.1", 0)), params);
    server_->start();
}

StandInBilling::~StandInBilling() { server_->stopAll(true); }

std::string StandInBilling::url() const {
    return fmt::format("http://127.0.0.1:{}/usage/batches", server_->port());
}

void StandInBilling::faults(BillingFaults faults) {
    const std::lock_guard lock(mutex_);
    faults_ = faults;
}

void StandInBilling::copy() {
    const std::lock_guard lock(mutex_);
    copy_ = kept_;
}

void StandInBilling::replace() {
    const std::lock_guard lock(mutex_);
    kept_ = copy_;
}

std::map<std::string, StandInBilling::Batches> StandInBilling::batches() const {
    const std::lock_guard lock(mutex_);
    return kept_;
}

std::uint64_t StandInBilling::posts() const {
    const std::lock_guard lock(mutex_);
    return posts_;
}

StandInBilling::Answer StandInBilling::answer(const std::string& exporter, std::uint64_t batch,
                                              std::string body) {
    const std::lock_guard lock(mutex_);
    ++posts_;
    const auto chance = [&](double p) { return std::uniform_real_distribution<>(0.0, 1.0)(random_) < p; };
    Batches& own = kept_[exporter];
    const auto have = [&] { return own.empty() ? 0 : own.rbegin()->first; };
    if (chance(faults_.forgets) && !own.empty()) own.erase(std::prev(own.end()));
    Answer a;
    if (chance(faults_.refused)) return {500, "{}", false, false, 0};
    if (batch > 0 && batch == have() + 1) own[batch] = std::move(body);
    a.body = fmt::format("{{\"have\": {}}}", have());
    a.cut = chance(faults_.lost);
    if (chance(faults_.failed)) a.status = 500;
    if (chance(faults_.late)) a.wait_ms = 500;
    a.twice = chance(faults_.twice);
    return a;
}

}    // namespace shaletray::testbed
