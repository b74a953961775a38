// Which answer is whose, what may have run, and what is sent again: from the client's and the servers' side.
#include <random>

#include "gateway/response_test_site.h"

using namespace shaletray;
using namespace shaletray::test;
using namespace std::chrono_literals;

namespace {

struct Told {
    AnswersClient::Answer answer;
    int arrivals = 0, ran = 0;
};

// One request, to whose arrivals the servers do what stands in `acts`, one after the other, and then answer.
// `part`: of its bytes so many times less are sent before there is an answer.
Told play(bool unsafe, const std::vector<Do>& acts, std::size_t bytes = 2, std::size_t part = 1) {
    AnswersSite site(3);
    std::size_t next = 0;
    site.script = [&](const Ask&, bool whole) {
        if (!whole) return next < acts.size() && acts[next] == Do::ResetWithin ? acts[next++] : Do::Answer;
        return next < acts.size() ? acts[next++] : Do::Answer;
    };
    AnswersClient client(site.listener->address());
    const std::string text = ask_text(unsafe, "x", std::string(bytes, 'b'));
    client.say(text.substr(0, text.size() / part));
    std::optional<AnswersClient::Answer> answer;
    cr_assert(site.turn_until([&] { return (answer = client.next()).has_value() || client.ended; }, 3000));
    cr_assert(answer.has_value());
    const int before = site.ran["x"];
    site.turn_until([] { return false; }, 500);    // nothing runs afterwards
    cr_assert(site.ran["x"] == before);
    cr_assert(!client.next().has_value());
    return {*answer, site.arrivals["x"], site.ran["x"]};
}

void check(const char* what, const Told& told, int status, int arrivals, int ran) {
    cr_assert(told.answer.status == status && told.arrivals == arrivals && told.ran == ran,
              "%s: status %d, %d arrivals, %d runs", what, told.answer.status, told.arrivals, told.ran);
    if (status != 200) return;
    cr_assert(told.answer.id == "x" && told.answer.seal == "seal-x" && told.answer.body.starts_with("of x"));
}

}    // namespace

Test(answers, what_may_have_run_runs_no_second_time_and_is_told_as_such) {
    const struct {
        const char* what;
        Do act;
        int status;
    } cases[] = {{"reset after the bytes", Do::Reset, 502},
                 {"reset before it was read", Do::ResetUnread, 502},
                 {"cut answer", Do::Cut, 502},
                 {"cut answer, by a reset", Do::CutByReset, 502},
                 {"silence", Do::Silent, 504},
                 {"no answer in the protocol", Do::Garbage, 502},
                 {"success without an id", Do::NoId, 502},
                 {"failure without an id", Do::NoIdFail, 502},
                 {"another's success", Do::OtherId, 504},
                 {"restart of the server", Do::Restart, 502},
                 {"503 without X-Not-Executed", Do::Unsaid503, 502},
                 {"429 without X-Not-Executed", Do::Unsaid429, 502},
                 {"its own failure", Do::Fail, 500}};
    for (const auto& c : cases) {
        const Told told = play(true, {c.act});
        check(c.what, told, c.status, 1, runs(c.act) ? 1 : 0);
        cr_assert(!told.answer.retry_after && told.answer.seal.empty(), "%s", c.what);
        cr_assert(told.answer.body == (c.act == Do::Fail ? "why-x" : ""), "%s", c.what);
    }
}

// What is repeatable goes to another server wherever there is time for it.
Test(answers, what_may_repeat_is_sent_to_another_server) {
    for (const Do act : {Do::Reset, Do::ResetUnread, Do::Cut, Do::CutByReset, Do::Garbage, Do::NoId,
                         Do::NoIdFail, Do::Restart, Do::Unsaid503, Do::Unsaid429, Do::Fail, Do::Full})
        check(fmt::format("act {}", static_cast<int>(act)).c_str(), play(false, {act}), 200, 2,
              runs(act) ? 2 : 1);
}

// A server cannot have run what it never had whole, nor what it says that it did not.
Test(answers, what_did_not_run_is_sent_on_and_refused_in_the_end) {
    check("full", play(true, {Do::Full}), 200, 2, 1);
    const Told full = play(true, {Do::Full, Do::Full, Do::Full});
    cr_assert(full.answer.status == 503 && full.answer.retry_after && full.arrivals > 1 && full.ran == 0);
    check("full, then a reset", play(true, {Do::Full, Do::Reset}), 502, 2, 1);
    const std::size_t large = 12 * 1024 * 1024;    // more than the system takes at once, and still held whole
    check("reset within the bytes", play(true, {Do::ResetWithin}, large), 200, 2, 1);
    check("reset after many bytes", play(true, {Do::Reset}, large), 502, 1, 1);
    // What is passed on as it comes cannot be sent again; half of it runs nowhere.
    const Told half = play(true, {Do::ResetWithin}, 24 * 1024 * 1024, 2);
    check("reset within what still comes", half, 503, 1, 0);

    AnswersSite nobody(2);
    for (auto& server : nobody.servers) server->go();
    AnswersClient client(nobody.listener->address());
    client.say(ask_text(true, "x", "bb"));
    std::optional<AnswersClient::Answer> answer;
    cr_assert(nobody.turn_until([&] { return (answer = client.next()).has_value(); }, 3000));
    cr_assert(answer->status == 503 && answer->retry_after);
}

// Each of these leaves something behind on a connection that is used again.
Test(answers, what_a_connection_still_brings_belongs_to_no_later_request) {
    for (const bool unsafe : {false, true}) {
        for (const Do act : {Do::Answer, Do::Twice, Do::CopyLater, Do::CloseAfter, Do::OldFirst}) {
            AnswersSite site(1);
            int number = 0;
            site.script = [&](const Ask&, bool) { return ++number % 2 != 0 ? act : Do::OldFirst; };
            site.turns = [] { return 1; };
            AnswersClient client(site.listener->address());
            for (int i = 0; i < 12; ++i) {
                const std::string id = fmt::format("n{}", i);
                client.say(ask_text(unsafe, id, "bb"));
                std::optional<AnswersClient::Answer> answer;
                cr_assert(site.turn_until([&] { return (answer = client.next()).has_value(); }, 3000));
                // A copy that comes while the next one is under way is passed over: nothing fails by it.
                cr_assert(answer->status == 200 && answer->id == id && answer->body == site.bodies[id],
                          "act %d, %s: %d %s", static_cast<int>(act), id.c_str(), answer->status,
                          answer->body.c_str());
                cr_assert(site.ran[id] == 1);
            }
        }
    }
}

// A server that has silently forgotten a connection resets it at the next request, whose fate nobody knows.
Test(answers, a_forgotten_connection_costs_what_may_not_repeat_and_is_never_a_promise) {
    for (const bool unsafe : {false, true}) {
        AnswersSite site(1);
        site.script = [](const Ask&, bool) { return Do::Forget; };
        AnswersClient client(site.listener->address());
        std::vector<int> statuses;
        for (int i = 0; i < 2; ++i) {
            const std::string id = fmt::format("n{}", i);
            client.say(ask_text(unsafe, id, "bb"));
            std::optional<AnswersClient::Answer> answer;
            cr_assert(site.turn_until([&] { return (answer = client.next()).has_value(); }, 3000));
            statuses.push_back(answer->status);
            site.turn_until([] { return false; }, 50);
        }
        cr_assert(statuses[0] == 200 && statuses[1] == (unsafe ? 502 : 200), "%d", statuses[1]);
        cr_assert(site.ran["n1"] == (unsafe ? 0 : 1));
    }
}

namespace {

// Clients that keep several requests of both kinds open, leave, and come again, and what they were told.
class Crowd {
public:
    Crowd(AnswersSite& site, unsigned seed) : site_(site), random_(seed) {
        for (int i = 0; i < 6; ++i) clients_.emplace_back();
    }
    bool turn(int most) {
        for (One& one : clients_) {
            if (!one.client) {
                if (asked_ >= most) continue;
                one.client = std::make_unique<AnswersClient>(site_.listener->address());
            }
            while (one.client) {
                const auto answer = one.client->next();
                if (!answer) break;
                heard(one, *answer);
            }
            if (one.client && (one.client->ended || (one.client->closes && one.open.empty()))) leave(one);
            if (!one.client) continue;
            if (!one.open.empty()) {
                if (random_() % 400 == 0) leave(one);    // with bytes under way
            } else if (asked_ < most && random_() % 3 == 0) {
                ask(one);
            }
        }
        return asked_ >= most &&
               std::all_of(clients_.begin(), clients_.end(), [](const One& one) { return one.open.empty(); });
    }
    // Nothing that was promised ran, nothing that may not repeat ran twice, and nothing ran unasked.
    void judge() const {
        for (const auto& [id, times] : site_.ran) {
            cr_assert(kinds_.contains(id), "%s was not asked", id.c_str());
            if (kinds_.at(id)) cr_assert(times <= 1, "%s ran %d times", id.c_str(), times);
        }
        for (const std::string& id : promised_)
            cr_assert(!site_.ran.contains(id), "%s was promised not to run, and ran", id.c_str());
    }

    std::map<int, int> statuses;

private:
    struct One {
        std::unique_ptr<AnswersClient> client;
        std::deque<std::string> open;
    };
    void leave(One& one) {
        one.client.reset();
        one.open.clear();
    }
    void ask(One& one) {
        const bool unsafe = random_() % 2 == 0;
        const int count = unsafe ? 1 : 1 + static_cast<int>(random_() % 3);
        for (int i = 0; i < count; ++i) {
            const std::string id = fmt::format("q{}", ++asked_);
            kinds_[id] = unsafe;
            one.open.push_back(id);
            const std::string body(unsafe ? (random_() % 16 == 0 ? 150000 : 1 + random_() % 40) : 0, 'b');
            one.client->say(ask_text(unsafe, id, body, 20 + static_cast<int>(random_() % 300)));
        }
    }
    void heard(One& one, const AnswersClient::Answer& answer) {
        cr_assert(!one.open.empty(), "an answer that nobody waits for");
        const std::string id = one.open.front();
        one.open.pop_front();
        ++statuses[answer.status];
        cr_assert(answer.id.empty() || answer.id == id, "%s for %s", answer.id.c_str(), id.c_str());
        switch (answer.status) {
            case 200:
                cr_assert(answer.id == id && answer.seal == "seal-" + id);
                cr_assert(answer.body.starts_with("of " + id + " by "), "%s for %s", answer.body.c_str(),
                          id.c_str());
                break;
            case 500: cr_assert(answer.body == "why-" + id); break;
            case 503: promised_.insert(id); [[fallthrough]];
            case 502:
            case 504: cr_assert(answer.body.empty() && answer.seal.empty()); break;
            default: cr_assert_fail("status %d for %s", answer.status, id.c_str());
        }
    }

    AnswersSite& site_;
    std::mt19937 random_;
    std::vector<One> clients_;
    std::map<std::string, bool> kinds_;    // by id: may not repeat
    std::set<std::string> promised_;
    int asked_ = 0;
};

}    // namespace

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr int kAsks = 150, kSeeds = 2;
#else
constexpr int kAsks = 500, kSeeds = 6;
#endif

// Judged from the clients' and the servers' side alone.
Test(answers, none_is_anothers_and_nothing_runs_twice_whatever_servers_do) {
    std::map<Do, int> done;
    std::map<int, int> statuses;
    int repeated = 0;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
        AnswersSite site(4, seed);
        std::mt19937 lots(seed * 7919);
        site.script = [&](const Ask&, bool whole) {
            if (!whole) return lots() % 20 == 0 ? Do::ResetWithin : Do::Answer;
            if (lots() % 2 == 0) return Do::Answer;
            const Do what = static_cast<Do>(lots() % static_cast<unsigned>(Do::kCount));
            return what == Do::Restart && lots() % 4 != 0 ? Do::Slow : what;
        };
        site.turns = [&] { return 1 + static_cast<int>(lots() % 40); };
        Crowd crowd(site, seed);
        for (int round = 0; round < 20 && !site.turn_until([&] { return crowd.turn(kAsks); }); ++round) {
        }
        cr_assert(site.turn_until([&] { return crowd.turn(kAsks); }), "seed %u: not all were answered", seed);
        site.turn_until([] { return false; }, 600);    // what may still come
        crowd.judge();
        for (const auto& [id, times] : site.ran) repeated += times > 1;
        for (const auto& [what, times] : site.done) done[what] += times;
        for (const auto& [status, times] : crowd.statuses) statuses[status] += times;
    }
    // Each trouble came, each kind of answer was given, and what may repeat was.
    for (int what = 0; what < static_cast<int>(Do::kCount); ++what)
        cr_assert(done[static_cast<Do>(what)] > 0, "nothing was done %d", what);
    for (const int status : {200, 500, 502, 503, 504}) cr_assert(statuses[status] > 0, "no %d", status);
    cr_assert(repeated > 0 && statuses[200] > kAsks * kSeeds / 3);
}
