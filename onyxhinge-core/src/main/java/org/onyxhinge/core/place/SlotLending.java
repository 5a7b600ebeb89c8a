package org.onyxhinge.core.place;

/**
 * Slots that a router exchanged with routers of other groups, counted since its start.
 *
 * @param requested requests for slots that it sent
 * @param granted slots that others reserved for it
 * @param used granted slots that it placed a call on
 * @param lent slots that it reserved for others
 */
public record SlotLending(long requested, long granted, long used, long lent) {

    static final SlotLending NONE = new SlotLending(0, 0, 0, 0);

    SlotLending withRequest() {
        return new SlotLending(requested + 1, granted, used, lent);
    }

    SlotLending withGrant() {
        return new SlotLending(requested, granted + 1, used, lent);
    }

    SlotLending withUse() {
        return new SlotLending(requested, granted, used + 1, lent);
    }

    SlotLending withLoan() {
        return new SlotLending(requested, granted, used, lent + 1);
    }
}
