#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <thread>

namespace persimmon::system_test {

// State of a link. What a cut or silent link holds back is delivered once it is good again, as TCP
// does after a partition.
enum class link_condition : std::uint8_t { Good, Slow, NoRequests, NoAnswers, Silent };

// TCP proxy between clients and one server on loopback.
class faulty_link
{
public:
    // Both addresses have the form IP:PORT.
    faulty_link(const std::string &listen, std::string target);
    ~faulty_link();
    faulty_link(const faulty_link &) = delete;
    faulty_link &operator=(const faulty_link &) = delete;

    void set(link_condition condition) { condition_ = condition; }

    // Resets all connections.
    void reset() { resetRequested_ = true; }

private:
    struct chunk
    {
        std::int64_t dueMs = 0;
        std::string bytes; // empty: the end of the stream
    };

    // One direction of a connection.
    struct stream
    {
        int from = -1;
        int to = -1;
        std::deque<chunk> waiting;
        bool ended = false; // no more bytes are read
        bool closed = false; // the end has been passed on
    };

    struct connection
    {
        stream requests;
        stream answers;
    };

    void run();
    void accept();
    bool pass(stream &item, bool blocked);
    static void read(stream &item, std::int64_t delayMs);
    static bool write(stream &item);
    static void close(connection &item, bool reset);

    std::string target_;
    int listener_ = -1;
    std::atomic<link_condition> condition_ {link_condition::Good};
    std::atomic<bool> resetRequested_ {false};
    std::atomic<bool> stopRequested_ {false};
    std::list<connection> connections_;
    std::thread thread_;
};

} // namespace persimmon::system_test
