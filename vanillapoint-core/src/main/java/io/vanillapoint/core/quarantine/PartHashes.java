package io.vanillapoint.core.quarantine;

import io.vanillapoint.core.hash.Rendezvous;
import io.vanillapoint.core.prompt.PromptPart;
import io.vanillapoint.core.prompt.PromptSummary;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Hashes that name prompt parts, customers and crashes between VMs. Stateless. */
public final class PartHashes {
    /** Stands for the customer of a request on a route that is open to all. */
    public static final long NO_CUSTOMER = 1;

    private PartHashes() {}

    /**
     * Hash of a prompt part. The same part of another model is another one, since engines of other
     * models process it differently.
     *
     * @param model name of the model
     * @param part the part
     * @return hash
     */
    public static long part(String model, PromptPart part) {
        return Rendezvous.weight(part.id(), model);
    }

    /**
     * Hashes of the parts of a prompt that other requests may share.
     *
     * @param prompt the prompt
     * @return hashes in order of the parts
     */
    public static List<Long> sharedParts(PromptSummary prompt) {
        List<Long> hashes = new ArrayList<>();
        for (PromptPart part : prompt.sharedParts()) {
            hashes.add(part(prompt.model(), part));
        }
        return hashes;
    }

    /**
     * Hash of a customer.
     *
     * @param name its name, empty on a route that is open to all
     * @return hash, never {@link PromptHold#ALL_CUSTOMERS}
     */
    public static long customer(Optional<String> name) {
        long hash = name.map(text -> Rendezvous.weight(text, "customer")).orElse(NO_CUSTOMER);
        return hash == PromptHold.ALL_CUSTOMERS ? NO_CUSTOMER : hash;
    }

    /**
     * Hash of one crash of an engine.
     *
     * @param upstream id of the engine
     * @param startedAtMillis start of the process that crashed
     * @return hash, equal on all VMs
     */
    public static long crash(String upstream, long startedAtMillis) {
        return Rendezvous.weight(upstream, Long.toString(startedAtMillis));
    }
}
