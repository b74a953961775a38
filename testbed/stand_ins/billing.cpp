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

class BatchHandler : public HTTPRequestHandler {
public:
    explicit BatchHandler(StandInBilling& owner) : owner_(owner) {}
    void handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) override {
        std::string body, exporter = request.get("X-Exporter", "");
        Poco::StreamCopier::copyToString(request.stream(), body);
        std::uint64_t batch = 0;
        const std::string batch_text = request.get("X-Batch", "0");
        std::from_chars(batch_text.data(), batch_text.data() + batch_text.size(), batch);
        const bool is_query = request.getMethod() == HTTPRequest::HTTP_GET;
        if (!is_query && request.get("Idempotency-Key", "") != fmt::format("{}:{}", exporter, batch)) {
            response.setStatus(HTTPResponse::HTTP_BAD_REQUEST);
            response.send();
            return;
        }
        const StandInBilling::Reply reply =
            owner_.handle_batch(exporter, is_query ? 0 : batch, std::move(body));
        if (reply.delay_ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(reply.delay_ms));
        if (reply.closes_connection) {
            static_cast<HTTPServerRequestImpl&>(request).socket().shutdown();
            return;
        }
        response.setStatus(static_cast<HTTPResponse::HTTPStatus>(reply.status));
        response.setKeepAlive(false);
        response.setContentLength(static_cast<int>(reply.body.size()));
        std::ostream& out = response.send();
        out << reply.body;
        out.flush();
        if (!reply.sends_twice) return;
        const std::string repeated_response = fmt::format("HTTP/1.1 {} Again\r\nContent-Length: {}\r\n\r\n{}",
                                                          reply.status, reply.body.size(), reply.body);
        static_cast<HTTPServerRequestImpl&>(request).socket().sendBytes(
            repeated_response.data(), static_cast<int>(repeated_response.size()));
    }

private:
    StandInBilling& owner_;
};

class BatchHandlerFactory : public HTTPRequestHandlerFactory {
public:
    explicit BatchHandlerFactory(StandInBilling& owner) : owner_(owner) {}
    HTTPRequestHandler* createRequestHandler(const HTTPServerRequest&) override {
        return new BatchHandler(owner_);
    }

private:
    StandInBilling& owner_;
};

}    // namespace

StandInBilling::StandInBilling(std::uint64_t seed) : random_(seed) {
    auto* params = new HTTPServerParams;    // reference-counted and owned by the server
    params->setKeepAlive(false);
    params->setMaxThreads(4);
    server_ = std::make_unique<HTTPServer>(new BatchHandlerFactory(*this),
                                           ServerSocket(SocketAddress("127.0.0.1", 0)), params);
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
    snapshot_ = batches_;
}

void StandInBilling::replace() {
    const std::lock_guard lock(mutex_);
    batches_ = snapshot_;
}

std::map<std::string, StandInBilling::Batches> StandInBilling::batches() const {
    const std::lock_guard lock(mutex_);
    return batches_;
}

std::uint64_t StandInBilling::posts() const {
    const std::lock_guard lock(mutex_);
    return posts_;
}

StandInBilling::Reply StandInBilling::handle_batch(const std::string& exporter, std::uint64_t batch,
                                                   std::string body) {
    const std::lock_guard lock(mutex_);
    ++posts_;
    const auto draw_fault = [&](double probability) {
        return std::uniform_real_distribution<>(0.0, 1.0)(random_) < probability;
    };
    Batches& exporter_batches = batches_[exporter];
    const auto last_batch = [&] { return exporter_batches.empty() ? 0 : exporter_batches.rbegin()->first; };
    if (draw_fault(faults_.forgets) && !exporter_batches.empty())
        exporter_batches.erase(std::prev(exporter_batches.end()));
    Reply reply;
    if (draw_fault(faults_.refused)) return {500, "{}", false, false, 0};
    if (batch > 0 && batch == last_batch() + 1) exporter_batches[batch] = std::move(body);
    reply.body = fmt::format("{{\"have\": {}}}", last_batch());
    reply.closes_connection = draw_fault(faults_.lost);
    if (draw_fault(faults_.failed)) reply.status = 500;
    if (draw_fault(faults_.late)) reply.delay_ms = 500;
    reply.sends_twice = draw_fault(faults_.twice);
    return reply;
}

}    // namespace shaletray::testbed
