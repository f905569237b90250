package io.vanillapoint.cli.explain;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import io.vanillapoint.api.event.EventCode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Order of decisions and likely causes, from log lines in the format that VMs write. */
class RequestTraceTest {
    @TempDir private Path folder;

    @Test
    void relayedRequestIsListedInCausalOrderDespiteASlowClock() throws IOException {
        RequestTrace trace =
                trace(
                        "{\"at\":1000,\"vm\":\"a\",\"event\":2304,\"request\":\"r1\",\"to\":\"b\"}",
                        "{\"at\":400,\"vm\":\"b\",\"event\":2311,\"request\":\"r1\"}",
                        "{\"at\":430,\"vm\":\"b\",\"event\":2303,\"request\":\"r1\",\"replica\":\"i\"}",
                        "{\"at\":1200,\"vm\":\"a\",\"event\":2306,\"request\":\"r1\",\"status\":200,"
                                + "\"first_ms\":200}");
        List<EventCode> codes = trace.decisions().stream().map(Decision::code).toList();
        assertThat(
                codes,
                is(
                        List.of(
                                EventCode.RELAYED,
                                EventCode.RELAY_ACCEPTED,
                                EventCode.PLACED,
                                EventCode.ANSWERED)));
        assertThat(LikelyCause.of(trace), containsString("answered with 200"));
    }

    @Test
    void likelyCauseOfRefusalNamesThePartition() throws IOException {
        RequestTrace trace =
                trace(
                        "{\"at\":900,\"vm\":\"a\",\"event\":2201,\"member\":\"b\"}",
                        "{\"at\":950,\"vm\":\"a\",\"event\":2202,\"member\":\"b\",\"silent_ms\":2000}",
                        "{\"at\":1000,\"vm\":\"a\",\"event\":2302,\"request\":\"r1\","
                                + "\"customer\":\"c\",\"level\":-5,\"share\":0.33}");
        assertThat(LikelyCause.of(trace), containsString("heard only 0.33 of the fleet"));
        assertThat(trace.lastContextEvent(EventCode.MEMBER_SUSPECTED).isPresent(), is(true));
    }

    @Test
    void likelyCauseOfFailureNamesTheDrainingReplica() throws IOException {
        RequestTrace trace =
                trace(
                        "12.5 a {\"at\":900,\"vm\":\"a\",\"event\":2103,\"replica\":\"i-1\","
                                + "\"state\":\"DRAINING\"}",
                        "12.5 a {\"at\":950,\"vm\":\"a\",\"event\":2305,\"request\":\"r1\","
                                + "\"target\":\"i-1\",\"end\":\"LOST\",\"cause\":\"reset\"}",
                        "12.5 a {\"at\":960,\"vm\":\"a\",\"event\":2308,\"request\":\"r1\","
                                + "\"reason\":\"attempt_lost\"}");
        assertThat(LikelyCause.of(trace), containsString("replica i-1 was draining"));
    }

    @Test
    void likelyCauseOfRefusalNamesThePromptPartsThatCrashEngines() throws IOException {
        RequestTrace trace =
                trace(
                        "{\"at\":950,\"vm\":\"a\",\"event\":2409,\"request\":\"r1\","
                                + "\"parts\":\"5f1e\",\"step\":\"admit\"}",
                        "{\"at\":951,\"vm\":\"a\",\"event\":2307,\"request\":\"r1\","
                                + "\"reason\":\"prompt_withheld\"}");
        assertThat(LikelyCause.of(trace), containsString("its prompt parts 5f1e crash engines"));
    }

    @Test
    void likelyCauseOfRefusalNamesTheReplicasOutOfReach() throws IOException {
        RequestTrace trace =
                trace(
                        "{\"at\":900,\"vm\":\"a\",\"event\":2412,\"service\":\"s\","
                                + "\"replicas\":6,\"vms_reaching\":2}",
                        "{\"at\":951,\"vm\":\"a\",\"event\":2307,\"request\":\"r1\","
                                + "\"reason\":\"replicas_unreachable\"}");
        assertThat(
                LikelyCause.of(trace),
                containsString("lost its paths to the 6 replicas of s in its region, which 2"));
    }

    @Test
    void likelyCauseOfFailureNamesTheEngineThatCrashed() throws IOException {
        RequestTrace trace =
                trace(
                        "{\"at\":950,\"vm\":\"a\",\"event\":2305,\"request\":\"r1\","
                                + "\"target\":\"i-1\",\"end\":\"LOST\",\"cause\":\"closed\"}",
                        "{\"at\":951,\"vm\":\"a\",\"event\":2308,\"request\":\"r1\","
                                + "\"reason\":\"attempt_lost\"}",
                        "{\"at\":1010,\"vm\":\"a\",\"event\":2406,\"request\":\"r1\","
                                + "\"replica\":\"i-1\",\"stage\":\"STARTED\"}");
        assertThat(LikelyCause.of(trace), containsString("engine i-1 crashed"));
    }

    @Test
    void likelyCauseOfRefusalNamesTheExhaustedRetryBudget() throws IOException {
        RequestTrace trace =
                trace(
                        "{\"at\":950,\"vm\":\"a\",\"event\":2312,\"request\":\"r1\",\"service\":\"s\","
                                + "\"granted\":false,\"left\":0.4,\"vms\":6}",
                        "{\"at\":951,\"vm\":\"a\",\"event\":2305,\"request\":\"r1\","
                                + "\"target\":\"i-1\",\"end\":\"REJECTED\",\"cause\":\"status 503\"}",
                        "{\"at\":952,\"vm\":\"a\",\"event\":2307,\"request\":\"r1\","
                                + "\"reason\":\"attempt_rejected\"}");
        assertThat(
                LikelyCause.of(trace),
                containsString("no retry to s was left on this VM, one of 6"));
    }

    @Test
    void likelyCauseOfRefusalNamesTheReplicaInBackoff() throws IOException {
        RequestTrace trace =
                trace(
                        "{\"at\":940,\"vm\":\"a\",\"event\":2402,\"request\":\"r0\","
                                + "\"replica\":\"i-1\",\"entry\":\"READY\"}",
                        "{\"at\":950,\"vm\":\"a\",\"event\":2403,\"request\":\"r1\","
                                + "\"replica\":\"i-1\",\"asked_ms\":1800,\"kept_ms\":1800}",
                        "{\"at\":952,\"vm\":\"a\",\"event\":2307,\"request\":\"r1\","
                                + "\"reason\":\"replicas_quiet\"}");
        assertThat(LikelyCause.of(trace), containsString("i-1 wanted no requests for 1800 ms"));
        assertThat(LikelyCause.of(trace), containsString("i-1 said that it leaves"));
    }

    @Test
    void requestThatNoVmLoggedIsReportedAsNotLogged() throws IOException {
        RequestTrace trace = trace("{\"at\":1,\"vm\":\"a\",\"event\":2302,\"request\":\"r2\"}");
        assertThat(LikelyCause.of(trace), containsString("no VM logged this request"));
    }

    private RequestTrace trace(String... lines) throws IOException {
        Path file = folder.resolve("log");
        Files.write(file, List.of(lines));
        DecisionLogReader files = new DecisionLogReader();
        files.read(file);
        return RequestTrace.of("r1", files.decisions());
    }
}
