package io.vanillapoint.wire;

import io.vanillapoint.core.quarantine.AttemptStage;
import io.vanillapoint.core.quarantine.CrashEvidence;
import io.vanillapoint.core.quarantine.PartSuccess;
import io.vanillapoint.core.quarantine.PromptHold;
import io.vanillapoint.core.quarantine.QuarantineReport;
import io.vanillapoint.core.quarantine.SuspectRequest;
import io.vanillapoint.wire.generated.TPartSuccess;
import io.vanillapoint.wire.generated.TPromptHold;
import io.vanillapoint.wire.generated.TQuarantine;
import io.vanillapoint.wire.generated.TSuspectRequest;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;

/** Converts the part of a heartbeat about prompt parts that crash engines. Stateless. */
final class QuarantineCodec {
    private static final AttemptStage[] STAGES = AttemptStage.values();

    private QuarantineCodec() {}

    static TQuarantine encode(QuarantineReport report) {
        List<TPromptHold> holds = new ArrayList<>();
        for (PromptHold hold : report.holds()) {
            holds.add(
                    new TPromptHold(
                            new ArrayList<>(hold.parts()),
                            hold.customer(),
                            hold.heldMillis(),
                            (int) hold.idleMillis(),
                            hold.probes()));
        }
        List<TSuspectRequest> suspects = new ArrayList<>();
        for (CrashEvidence evidence : report.evidence()) {
            SuspectRequest request = evidence.request();
            suspects.add(
                    new TSuspectRequest(
                            request.crash(),
                            (int) evidence.ageMillis(),
                            request.stage().ordinal(),
                            request.customer(),
                            request.parts()));
        }
        List<TPartSuccess> successes = new ArrayList<>();
        for (PartSuccess success : report.successes()) {
            successes.add(new TPartSuccess(success.part(), (int) success.ageMillis()));
        }
        return new TQuarantine(holds, suspects, successes);
    }

    /** Decodes a report; requests at a stage that a later version has added are left out. */
    static QuarantineReport decode(TQuarantine message) {
        List<PromptHold> holds = new ArrayList<>();
        for (TPromptHold hold : message.getHolds()) {
            holds.add(
                    new PromptHold(
                            new HashSet<>(hold.getParts()),
                            hold.getCustomer(),
                            notNegative(hold.getHeldMillis()),
                            notNegative(hold.getIdleMillis()),
                            hold.getProbes()));
        }
        List<CrashEvidence> evidence = new ArrayList<>();
        for (TSuspectRequest suspect : message.getSuspects()) {
            if (suspect.getStage() >= 0 && suspect.getStage() < STAGES.length) {
                evidence.add(
                        new CrashEvidence(
                                new SuspectRequest(
                                        suspect.getCrash(),
                                        STAGES[suspect.getStage()],
                                        suspect.getCustomer(),
                                        suspect.getParts()),
                                notNegative(suspect.getAgeMillis())));
            }
        }
        List<PartSuccess> successes = new ArrayList<>();
        for (TPartSuccess success : message.getSuccesses()) {
            successes.add(new PartSuccess(success.getPart(), notNegative(success.getAgeMillis())));
        }
        return new QuarantineReport(holds, evidence, successes);
    }

    private static long notNegative(long millis) {
        if (millis < 0) {
            throw new IllegalArgumentException("expected an age of 0 or more, found " + millis);
        }
        return millis;
    }
}
