#pragma once

#include <cstddef>
#include <memory>

namespace boragerack::runtime {

class ByteBudget;

/// The part of a budget that one buffer uses; given back when the reservation is destroyed.
class ByteReservation
{
public:
    /// A buffer up to this size needs no reservation, so that small messages pass while large ones
    /// use up the budget.
    static constexpr std::size_t kFreeBytes = 16 * 1024;
    /// Copies of a message that exist at the same time: as received, decoded and encoded.
    static constexpr std::size_t kCopies = 3;

    explicit ByteReservation(std::shared_ptr<ByteBudget> budget);
    ByteReservation(const ByteReservation &) = delete;
    ByteReservation &operator=(const ByteReservation &) = delete;
    ~ByteReservation();

    /// Adjusts the reservation to the size of the buffer. Returns false, and changes nothing, if
    /// the budget does not suffice.
    [[nodiscard]] bool resize(std::size_t bufferBytes);

private:
    std::shared_ptr<ByteBudget> budget_;
    std::size_t reserved_ = 0;
};

} // namespace boragerack::runtime
